import type { ReadRecord } from './history.js';
import { mayTakeEffect, type Amend, type KnownChange, type Refusal } from './orders.js';
import { PossibleTexts } from './possible-texts.js';
import { readVersion } from './register-search.js';
import { REGISTER_PART, type Violation } from './violation.js';

/**
 * Rules of the register that a few records break by themselves. Each of these findings proves that the run is not
 * linearizable; they are there to name the fault and to point at its records. Whether a run is legal is for the
 * search to say.
 */

interface KnownVersion {
  readonly version: number;
  readonly at: number;
}

const NO_CONFIGURATION = 0;

function byMoment(left: KnownVersion, right: KnownVersion): number {
  return left.at - right.at;
}

function byBase(left: KnownChange, right: KnownChange): number {
  return left.base - right.base;
}

function bySending(left: ReadRecord, right: ReadRecord): number {
  return left.sentAt - right.sentAt;
}

function isPossible(change: KnownChange): boolean {
  return !change.isInvalid && mayTakeEffect(change);
}

class RegisterRules {
  readonly #changes: readonly KnownChange[];
  readonly #reads: readonly ReadRecord[];
  readonly #texts: PossibleTexts;
  /** When the operators first knew of each version that it was or had been in force. */
  readonly #knownAt = new Map<number, number>([[NO_CONFIGURATION, -Infinity]]);
  readonly #found: Violation[] = [];
  readonly #reported = new Set<Refusal>();

  constructor(
    changes: readonly KnownChange[],
    reads: readonly ReadRecord[],
    amend: Amend | undefined,
  ) {
    this.#texts = new PossibleTexts(changes, amend);
    this.#changes = [...changes].sort(byBase);
    this.#reads = [...reads].sort(bySending);
    for (const { version, acceptedAt } of changes) {
      if (acceptedAt !== undefined) this.#know(version, acceptedAt);
    }
    for (const read of reads) this.#know(readVersion(read), read.endedAt);
  }

  judge(): Violation[] {
    this.#judgeAcceptances();
    for (const change of this.#changes) {
      if (!change.isInvalid) this.#judgeRefusals(change);
    }
    for (const read of this.#reads) this.#judgeDocument(read);
    this.#judgeAgreement();
    this.#judgeAge();
    return this.#found;
  }

  #know(version: number, at: number): void {
    this.#knownAt.set(version, Math.min(this.#knownAt.get(version) ?? Infinity, at));
  }

  #judgeAcceptances(): void {
    const accepted = new Map<number, KnownChange>();
    for (const change of this.#changes) {
      if (change.acceptedAt === undefined) continue;
      if (change.isInvalid) {
        this.#found.push({ rule: 'invalid-accepted', order: firstRecord(change) });
        continue;
      }
      const other = accepted.get(change.base);
      accepted.set(change.base, change);
      if (!other) continue;
      const orders = [firstRecord(other), firstRecord(change)];
      this.#found.push({ rule: 'two-accepted-on-one-base', base: change.base, orders });
    }
  }

  #judgeRefusals(change: KnownChange): void {
    for (const refusal of change.refusals) {
      const baseKnownAt = this.#knownAt.get(change.base) ?? Infinity;
      if (change.acceptedAt !== undefined) {
        // Before its own base is in force an order may be refused; afterwards only if another one won.
        const isLegal = refusal.sentAt <= Math.min(baseKnownAt, change.acceptedAt);
        if (!isLegal) this.#reportRefusal(change, refusal, hasEarlierCopy(change, refusal));
      } else if (baseKnownAt < refusal.sentAt && !this.#mayHaveLost(change, refusal)) {
        const isInForce = hasEarlierCopy(change, refusal) && this.#mayHaveBeenRead(change);
        this.#reportRefusal(change, refusal, isInForce);
      }
    }
  }

  #reportRefusal(change: KnownChange, refusal: Refusal, isAfterAcceptance: boolean): void {
    if (this.#reported.has(refusal)) return;
    this.#reported.add(refusal);
    const { record: order, endedAt: refusedAt } = refusal;
    const { base } = change;
    if (isAfterAcceptance) this.#found.push({ rule: 'refused-after-accepted', order, refusedAt });
    else this.#found.push({ rule: 'refused-for-a-winner-that-never-was', order, base, refusedAt });
  }

  #mayHaveBeenRead(change: KnownChange): boolean {
    for (const { document } of this.#reads) {
      if (document?.version !== change.version) continue;
      if (this.#texts.mayMake(change, document.text)) return true;
    }
    return false;
  }

  /** Whether the change may be wrong for its base, or another may have replaced that before the refusal. */
  #mayHaveLost(change: KnownChange, refusal: Refusal): boolean {
    if (this.#texts.mayFail(change)) return true;
    for (const read of this.#reads) {
      if (readVersion(read) === change.base && read.sentAt > refusal.endedAt) return false;
    }
    let hasRival = false;
    for (const rival of this.#changes) {
      if (rival === change || rival.base !== change.base || !isPossible(rival)) continue;
      if (rival.firstSentAt <= refusal.endedAt) hasRival = true;
      else if (rival.acceptedAt !== undefined) return false;
    }
    return hasRival;
  }

  #judgeDocument(read: ReadRecord): void {
    const { document } = read;
    if (!document) return;
    const makers: KnownChange[] = [];
    for (const change of this.#changes) {
      if (change.version === document.version && this.#texts.mayMake(change, document.text)) {
        makers.push(change);
      }
    }
    const [maker] = makers;
    if (!maker) {
      this.#found.push({ rule: 'read-not-as-sent', read: read.id, version: document.version });
      return;
    }
    const possible = makers.filter(isPossible);
    if (possible.length === 0) this.#reportMaker(read, makers.find(isValid) ?? maker);
    else if (possible.every((change) => this.#hasLost(change))) {
      this.#found.push({
        rule: 'losing-in-force',
        read: read.id,
        order: firstRecord(possible[0] ?? maker),
      });
    }
  }

  /** What was read is in force by a change that never may be. */
  #reportMaker(read: ReadRecord, maker: KnownChange): void {
    if (maker.isInvalid) {
      this.#found.push({ rule: 'invalid-in-force', read: read.id, order: firstRecord(maker) });
      return;
    }
    for (const refusal of maker.refusals) {
      if (!hasEarlierCopy(maker, refusal)) continue;
      this.#reportRefusal(maker, refusal, true);
      return;
    }
    this.#found.push({ rule: 'losing-in-force', read: read.id, order: firstRecord(maker) });
  }

  #hasLost(change: KnownChange): boolean {
    for (const rival of this.#changes) {
      if (rival !== change && rival.base === change.base && rival.acceptedAt !== undefined)
        return true;
    }
    return false;
  }

  /** Reads of one version bring one text. */
  #judgeAgreement(): void {
    const texts = new Map<number, string | undefined>();
    for (const read of this.#reads) {
      const version = readVersion(read);
      const text = read.document?.text;
      if (texts.has(version) && texts.get(version) !== text) {
        this.#found.push({ rule: 'read-not-as-sent', read: read.id, version });
      }
      texts.set(version, text);
    }
  }

  /** No read is older than what was known when it began. */
  #judgeAge(): void {
    const known: KnownVersion[] = [];
    for (const [version, at] of this.#knownAt) known.push({ version, at });
    known.sort(byMoment);
    const last = this.#reads.at(-1);
    const lost = last === undefined ? [] : this.#lostBefore(last);
    if (lost.length > 0)
      this.#found.push({ rule: 'lost-accepted', orders: lost, part: REGISTER_PART });
    let next = 0;
    let newest = NO_CONFIGURATION;
    for (const read of this.#reads) {
      for (let entry = known[next]; entry && entry.at < read.sentAt; entry = known[next]) {
        newest = Math.max(newest, entry.version);
        next += 1;
      }
      if (readVersion(read) >= newest || (read === last && lost.length > 0)) continue;
      this.#found.push({ rule: 'stale-read', read: read.id, part: REGISTER_PART });
    }
  }

  /** Orders that were accepted before the last read and are newer than what it brought. */
  #lostBefore(last: ReadRecord): number[] {
    const lost: number[] = [];
    for (const change of this.#changes) {
      const { acceptedAt, version } = change;
      if (acceptedAt !== undefined && acceptedAt < last.sentAt && version > readVersion(last)) {
        lost.push(firstRecord(change));
      }
    }
    return lost;
  }
}

function isValid(change: KnownChange): boolean {
  return !change.isInvalid;
}

function firstRecord(change: KnownChange): number {
  return change.records[0] ?? -1;
}

/** Whether a copy of the order was under way before the attempt that was refused. */
function hasEarlierCopy(change: KnownChange, refusal: Refusal): boolean {
  return change.firstSentAt < refusal.sentAt;
}

/** All findings; none says nothing about whether the run is legal. */
export function judgeRegister(
  changes: readonly KnownChange[],
  reads: readonly ReadRecord[],
  amend: Amend | undefined,
): Violation[] {
  return new RegisterRules(changes, reads, amend).judge();
}
