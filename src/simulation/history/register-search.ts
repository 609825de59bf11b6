import type { ReadRecord } from './history.js';
import { clip, unionOf, type Interval, type Intervals } from './intervals.js';
import { mayTakeEffect, type Amend, type KnownChange, type Refusal } from './orders.js';

/**
 * Decides exactly whether a run of the register of configurations is linearizable.
 *
 * A general search (Wing and Gong, Lowe) tries orderings of overlapping operations and remembers the states that
 * failed. Compare-and-set leaves few orderings: versions only increase and each order names the version that it
 * replaces, so the orders in force form a chain, and reads and refusals constrain when each version of it was in force.
 * The search visits the versions in ascending order and stores for each document the times at which it may have come
 * into force. The rest of the search depends on nothing else, so each document is visited once. The times form a union
 * of closed intervals:
 *
 * - a read of a version bounds its start from above and its end from below;
 * - an order takes effect between its first attempt and the end of its span;
 * - a refusal between `a` and `b` of an order based on version `v` needs a time in that interval at which `v` was not
 *   in force: `v` came into force at `a` or later, or was replaced at `b` or earlier. For the order that itself
 *   replaced `v`, only the first case is possible.
 */

/** A change as an input of the search; relaxed candidates show which rule a run breaks. */
export interface Candidate extends KnownChange {
  readonly isRequired: boolean;
  readonly isPossible: boolean;
}

/** The input of the search: the changes and reads of the register. */
export interface RegisterRun {
  readonly candidates: readonly Candidate[];
  readonly reads: readonly ReadRecord[];
  readonly amend: Amend | undefined;
}

/** The result of the search. */
export interface SearchOutcome {
  readonly isLegal: boolean;
  /** The highest version that may have come into force with everything before it explained. */
  readonly reached: number;
}

/** A document that may have been in force, with the times at which it may have come into force. */
interface Node {
  readonly version: number;
  /** Undefined before the first configuration, and if the effect of a change on the text is unknown. */
  readonly text: string | undefined;
  readonly moments: Interval[];
}

/** What the reads of one version show about its text and about when it was in force. */
interface VersionReads {
  readonly text: string | undefined;
  readonly doAgree: boolean;
  readonly inForceBy: number;
  readonly inForceUntil: number;
}

const NO_READS: VersionReads = {
  text: undefined,
  doAgree: true,
  inForceBy: Infinity,
  inForceUntil: -Infinity,
};
const FIRST_VERSION = 0;

/** Returns a change as a candidate without relaxations. */
export function candidateOf(change: KnownChange): Candidate {
  const isRequired = change.acceptedAt !== undefined;
  return { ...change, isRequired, isPossible: !change.isInvalid && mayTakeEffect(change) };
}

/** Returns the version of the document that was read, or 0 if there was no configuration yet. */
export function readVersion(read: ReadRecord): number {
  return read.document?.version ?? FIRST_VERSION;
}

function ascending(left: number, right: number): number {
  return left - right;
}

/** Returns how many numbers of a sorted list are below a bound. */
function countBelow(sorted: readonly number[], bound: number): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((sorted[middle] ?? Infinity) < bound) low = middle + 1;
    else high = middle;
  }
  return low;
}

class RegisterSearch {
  readonly #amend: Amend | undefined;
  readonly #byBase = new Map<number, Candidate[]>();
  readonly #requiredBases: readonly number[];
  readonly #reads = new Map<number, VersionReads>();
  readonly #readVersions: readonly number[];
  readonly #nodes = new Map<number, Map<string | undefined, Node>>();
  #reached = FIRST_VERSION;

  constructor(run: RegisterRun) {
    this.#amend = run.amend;
    const requiredBases: number[] = [];
    for (const candidate of run.candidates) {
      const sameBase = this.#byBase.get(candidate.base);
      if (sameBase) sameBase.push(candidate);
      else this.#byBase.set(candidate.base, [candidate]);
      if (candidate.isRequired) requiredBases.push(candidate.base);
    }
    this.#requiredBases = requiredBases.sort(ascending);
    for (const read of run.reads) this.#addRead(read);
    this.#readVersions = [...this.#reads.keys()].sort(ascending);
  }

  /** Visits the documents in ascending order of versions until one may be the last. */
  search(): SearchOutcome {
    const versions = new Set<number>([FIRST_VERSION]);
    for (const candidates of this.#byBase.values()) {
      for (const { version } of candidates) versions.add(version);
    }
    const first = this.#reads.get(FIRST_VERSION) ?? NO_READS;
    if (first.text === undefined && first.doAgree) {
      this.#addNode(FIRST_VERSION, undefined, [{ from: -Infinity, to: -Infinity }]);
    }
    for (const version of [...versions].sort(ascending)) {
      for (const node of this.#nodes.get(version)?.values() ?? []) {
        this.#reached = version;
        if (this.#mayBeLast(node)) return { isLegal: true, reached: version };
        this.#expand(node);
      }
    }
    return { isLegal: false, reached: this.#reached };
  }

  #addRead(read: ReadRecord): void {
    const version = readVersion(read);
    const text = read.document?.text;
    const before = this.#reads.get(version);
    this.#reads.set(version, {
      text,
      doAgree: before === undefined || (before.doAgree && before.text === text),
      inForceBy: Math.min(before?.inForceBy ?? Infinity, read.endedAt),
      inForceUntil: Math.max(before?.inForceUntil ?? -Infinity, read.sentAt),
    });
  }

  #addNode(version: number, text: string | undefined, moments: Intervals): void {
    const nodes = this.#nodes.get(version) ?? new Map<string | undefined, Node>();
    this.#nodes.set(version, nodes);
    const node = nodes.get(text);
    if (node) node.moments.push(...moments);
    else nodes.set(text, { version, text, moments: [...moments] });
  }

  /** Whether everything observed is explained if this document is the last one. */
  #mayBeLast(node: Node): boolean {
    if (countBelow(this.#requiredBases, node.version) < this.#requiredBases.length) return false;
    if ((this.#readVersions.at(-1) ?? FIRST_VERSION) > node.version) return false;
    let notBefore = -Infinity;
    for (const refusal of this.#refusalsOn(node, undefined))
      notBefore = Math.max(notBefore, refusal.sentAt);
    return clip(node.moments, notBefore, Infinity).length > 0;
  }

  #expand(node: Node): void {
    for (const winner of this.#byBase.get(node.version) ?? []) {
      if (!winner.isPossible || this.#isAnySkipped(node.version, winner)) continue;
      const text = this.#textOf(node, winner);
      const reads = this.#reads.get(winner.version) ?? NO_READS;
      if (text === 'not applicable' || !reads.doAgree) continue;
      if (reads.text !== undefined && text.known !== undefined && reads.text !== text.known)
        continue;
      const moments = this.#effectMoments(node, winner, reads);
      if (moments.length > 0) this.#addNode(winner.version, text.known, moments);
    }
  }

  /** Whether an accepted order, or a version that was read, would be passed over. */
  #isAnySkipped(from: number, winner: Candidate): boolean {
    const required =
      countBelow(this.#requiredBases, winner.version) - countBelow(this.#requiredBases, from);
    if (required > (winner.isRequired ? 1 : 0)) return true;
    const read =
      countBelow(this.#readVersions, winner.version) - countBelow(this.#readVersions, from + 1);
    return read > 0;
  }

  #textOf(
    node: Node,
    change: Candidate,
  ): { readonly known: string | undefined } | 'not applicable' {
    if (change.kind === 'put') return { known: change.text };
    if (!this.#amend || (node.text === undefined && node.version !== FIRST_VERSION))
      return { known: undefined };
    const known = this.#amend(node.text ?? '', change.text);
    return known === undefined ? 'not applicable' : { known };
  }

  /** The refusals of orders on this document that need an explanation, without those of `winner`. */
  #refusalsOn(node: Node, winner: Candidate | undefined): Refusal[] {
    const refusals: Refusal[] = [];
    for (const change of this.#byBase.get(node.version) ?? []) {
      if (change === winner || change.isInvalid || change.refusals.length === 0) continue;
      if (this.#textOf(node, change) !== 'not applicable') refusals.push(...change.refusals);
    }
    return refusals;
  }

  /** Returns the times at which `winner` may have replaced the document. */
  #effectMoments(node: Node, winner: Candidate, reads: VersionReads): Intervals {
    const earliest = Math.max(
      winner.firstSentAt,
      this.#reads.get(node.version)?.inForceUntil ?? -Infinity,
    );
    const latest = Math.min(winner.effectBy, reads.inForceBy);
    let notBefore = -Infinity;
    for (const refusal of winner.refusals) notBefore = Math.max(notBefore, refusal.sentAt);
    const refusals = this.#refusalsOn(node, winner);
    const moments: Interval[] = [];
    for (const { from, to } of clip(node.moments, notBefore, Infinity)) {
      // The later the document starts, the more refusals it explains; only the send times of refusals make a
      // difference.
      const beginnings = [from];
      for (const { sentAt } of refusals) if (sentAt > from && sentAt <= to) beginnings.push(sentAt);
      for (const beginning of beginnings) {
        let replacedBy = latest;
        for (const { sentAt, endedAt } of refusals) {
          if (sentAt > beginning) replacedBy = Math.min(replacedBy, endedAt);
        }
        moments.push({ from: Math.max(beginning, earliest), to: replacedBy });
      }
    }
    return unionOf(moments);
  }
}

/** Searches for a sequence of the orders that explains every acceptance, refusal and read. */
export function searchRegister(run: RegisterRun): SearchOutcome {
  return new RegisterSearch(run).search();
}
