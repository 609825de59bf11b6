import type { ReadRecord } from './history.js';
import { mayTakeEffect, type Amend, type KnownChange, type Refusal } from './orders.js';
import { PossibleTexts } from './possible-texts.js';
import { readVersion } from './register-search.js';
import { REGISTER_PART, type Violation } from './violation.js';

/**
 * Rules of the register whose violation a few records prove by themselves. Each violation proves that the run isn't
 * linearizable, names the fault and identifies its records. Without violations the run may still be illegal: the search
 * decides that.
 */

interface KnownVersion {
  readonly version: number;
  readonly at: number;
}

const NO_CONFIGURATION = 0;

function compareTimes(left: KnownVersion, right: KnownVersion): number {
  return left.at - right.at;
}

function compareBases(left: KnownChange, right: KnownChange): number {
  return left.base - right.base;
}

function compareSendTimes(left: ReadRecord, right: ReadRecord): number {
  return left.sentAt - right.sentAt;
}

function isPossible(change: KnownChange): boolean {
  return !change.isInvalid && mayTakeEffect(change);
}

class RegisterRules {
  readonly #changes: readonly KnownChange[];
  readonly #reads: readonly ReadRecord[];
  readonly #texts: PossibleTexts;
  /** When operators first knew that each version was or had been in force. */
  readonly #knownAt = new Map<number, number>([[NO_CONFIGURATION, -Infinity]]);
  readonly #violations: Violation[] = [];
  readonly #reported = new Set<Refusal>();

  constructor(
    changes: readonly KnownChange[],
    reads: readonly ReadRecord[],
    amend: Amend | undefined,
  ) {
    this.#texts = new PossibleTexts(changes, amend);
    this.#changes = [...changes].sort(compareBases);
    this.#reads = [...reads].sort(compareSendTimes);
    for (const { version, acceptedAt } of changes) {
      if (acceptedAt !== undefined) this.#noteKnown(version, acceptedAt);
    }
    for (const read of reads) this.#noteKnown(readVersion(read), read.endedAt);
  }

  /** Returns all violations. */
  check(): Violation[] {
    this.#checkAcceptances();
    for (const change of this.#changes) {
      if (!change.isInvalid) this.#checkRefusals(change);
    }
    for (const read of this.#reads) this.#checkDocument(read);
    this.#checkReadAgreement();
    this.#checkStaleness();
    return this.#violations;
  }

  #noteKnown(version: number, at: number): void {
    this.#knownAt.set(version, Math.min(this.#knownAt.get(version) ?? Infinity, at));
  }

  #checkAcceptances(): void {
    const accepted = new Map<number, KnownChange>();
    for (const change of this.#changes) {
      if (change.acceptedAt === undefined) continue;
      if (change.isInvalid) {
        this.#violations.push({ rule: 'invalid-accepted', order: firstRecord(change) });
        continue;
      }
      const other = accepted.get(change.base);
      accepted.set(change.base, change);
      if (!other) continue;
      const orders = [firstRecord(other), firstRecord(change)];
      this.#violations.push({ rule: 'two-accepted-on-one-base', base: change.base, orders });
    }
  }

  #checkRefusals(change: KnownChange): void {
    for (const refusal of change.refusals) {
      const baseKnownAt = this.#knownAt.get(change.base) ?? Infinity;
      if (change.acceptedAt !== undefined) {
        // An order may be refused before its base is in force; afterwards only if another order on that base took
        // effect.
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
    if (isAfterAcceptance)
      this.#violations.push({ rule: 'refused-after-accepted', order, refusedAt });
    else
      this.#violations.push({
        rule: 'refused-for-a-winner-that-never-was',
        order,
        base,
        refusedAt,
      });
  }

  #mayHaveBeenRead(change: KnownChange): boolean {
    for (const { document } of this.#reads) {
      if (document?.version !== change.version) continue;
      if (this.#texts.mayProduce(change, document.text)) return true;
    }
    return false;
  }

  /**
   * Whether the change may be inapplicable to its base, or another change may have replaced the base before the
   * refusal.
   */
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

  #checkDocument(read: ReadRecord): void {
    const { document } = read;
    if (!document) return;
    const producers: KnownChange[] = [];
    for (const change of this.#changes) {
      if (change.version === document.version && this.#texts.mayProduce(change, document.text)) {
        producers.push(change);
      }
    }
    const [producer] = producers;
    if (!producer) {
      this.#violations.push({ rule: 'read-not-as-sent', read: read.id, version: document.version });
      return;
    }
    const possible = producers.filter(isPossible);
    if (possible.length === 0) this.#reportIllegalOrigin(read, producers.find(isValid) ?? producer);
    else if (possible.every((change) => this.#hasLost(change))) {
      this.#violations.push({
        rule: 'losing-in-force',
        read: read.id,
        order: firstRecord(possible[0] ?? producer),
      });
    }
  }

  /** Reports that a document was read that only changes that must never be in force can have produced. */
  #reportIllegalOrigin(read: ReadRecord, producer: KnownChange): void {
    if (producer.isInvalid) {
      this.#violations.push({
        rule: 'invalid-in-force',
        read: read.id,
        order: firstRecord(producer),
      });
      return;
    }
    for (const refusal of producer.refusals) {
      if (!hasEarlierCopy(producer, refusal)) continue;
      this.#reportRefusal(producer, refusal, true);
      return;
    }
    this.#violations.push({ rule: 'losing-in-force', read: read.id, order: firstRecord(producer) });
  }

  #hasLost(change: KnownChange): boolean {
    for (const rival of this.#changes) {
      if (rival !== change && rival.base === change.base && rival.acceptedAt !== undefined)
        return true;
    }
    return false;
  }

  /** All reads of a version must return the same text. */
  #checkReadAgreement(): void {
    const texts = new Map<number, string | undefined>();
    for (const read of this.#reads) {
      const version = readVersion(read);
      const text = read.document?.text;
      if (texts.has(version) && texts.get(version) !== text) {
        this.#violations.push({ rule: 'read-not-as-sent', read: read.id, version });
      }
      texts.set(version, text);
    }
  }

  /** No read may return an older version than was known when the read started. */
  #checkStaleness(): void {
    const known: KnownVersion[] = [];
    for (const [version, at] of this.#knownAt) known.push({ version, at });
    known.sort(compareTimes);
    const last = this.#reads.at(-1);
    const lost = last === undefined ? [] : this.#lostBefore(last);
    if (lost.length > 0)
      this.#violations.push({ rule: 'lost-accepted', orders: lost, part: REGISTER_PART });
    let next = 0;
    let newest = NO_CONFIGURATION;
    for (const read of this.#reads) {
      for (let entry = known[next]; entry && entry.at < read.sentAt; entry = known[next]) {
        newest = Math.max(newest, entry.version);
        next += 1;
      }
      if (readVersion(read) >= newest || (read === last && lost.length > 0)) continue;
      this.#violations.push({ rule: 'stale-read', read: read.id, part: REGISTER_PART });
    }
  }

  /** Orders that were accepted before the last read and are newer than the version that it returned. */
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

/** Whether a copy of the order was sent before the attempt that was refused. */
function hasEarlierCopy(change: KnownChange, refusal: Refusal): boolean {
  return change.firstSentAt < refusal.sentAt;
}

/** Returns all violations that a few records prove. An empty result doesn't mean that the run is legal. */
export function checkRegisterRules(
  changes: readonly KnownChange[],
  reads: readonly ReadRecord[],
  amend: Amend | undefined,
): Violation[] {
  return new RegisterRules(changes, reads, amend).check();
}
