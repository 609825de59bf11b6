import { later, moment, type Epoch, type Moment, type NodeId } from '../common/ids.js';
import type { VoteRecord } from './vote-effect.js';
import type { VoteSettings } from './vote-settings.js';

interface Grant {
  readonly grantedEpoch: number;
  readonly grantedLeader: string;
  /** When nothing that was promised to others before this grant binds any more. */
  readonly leasesEndAt: Moment;
  readonly isFree: boolean;
}

/**
 * What one voter has granted and promised: one leader an epoch, on disk, and to each holder a span from when it was last
 * heard in which no other may order. Spans are counted on this voter's monotonic clock.
 */
export class VoteGrants {
  readonly #settings: VoteSettings;
  #lastGrant: Grant;
  /** Until when each holder is promised that no other orders. */
  readonly #leaseEnds = new Map<string, Moment>();
  /** Until when what was promised before this process began may bind. */
  #priorLeaseEnd: Moment;
  /** The one to whom alone we may have promised something before we started; nothing where we cannot tell. */
  #priorLeader: string;

  constructor(settings: VoteSettings, now: Moment, record: VoteRecord) {
    const { leaseMs, handoverGapMs, drift } = settings;
    const isFree = record.isFree === true;
    this.#settings = settings;
    this.#lastGrant = {
      grantedEpoch: record.grantEpoch,
      grantedLeader: record.grantLeader,
      leasesEndAt: later(now, (leaseMs + handoverGapMs) * (1 + 5 * drift)),
      isFree,
    };
    // What we promised before a crash is gone from memory: hold as if promised this moment. Where the record says to whom
    // alone, that one is not held up by it: the same holder may go on at once.
    this.#priorLeader = isFree ? record.grantLeader : '';
    this.#priorLeaseEnd = record.grantEpoch > 0 ? later(now, leaseMs) : moment(now - handoverGapMs);
  }

  /** The epoch granted last; 0 if none was. */
  get epoch(): number {
    return this.#lastGrant.grantedEpoch;
  }

  /** To whom that epoch was granted; empty if none was. */
  get leader(): string {
    return this.#lastGrant.grantedLeader;
  }

  record(epoch: Epoch): VoteRecord {
    return {
      epoch,
      grantEpoch: this.#lastGrant.grantedEpoch,
      grantLeader: this.#lastGrant.grantedLeader,
      isFree: this.#lastGrant.isFree,
    };
  }

  isGrantedTo(leader: NodeId, epoch: Epoch): boolean {
    return this.#lastGrant.grantedEpoch === epoch && this.#lastGrant.grantedLeader === leader;
  }

  /** One grant an epoch, even if two winners of overlapping deferrals ask. */
  mayGrant(leader: NodeId, epoch: Epoch): boolean {
    return this.#lastGrant.grantedEpoch < epoch || this.isGrantedTo(leader, epoch);
  }

  /** Grants an epoch that was not granted yet. `wait` is how long promises to others still bind, in milliseconds. */
  grant(now: Moment, leader: NodeId, epoch: Epoch, waitMs: number): void {
    this.#lastGrant = {
      grantedEpoch: epoch,
      grantedLeader: leader,
      leasesEndAt: later(now, waitMs),
      isFree: waitMs <= 0,
    };
  }

  /** Promises the span from now on. */
  extendLease(now: Moment, leader: NodeId): void {
    this.#leaseEnds.set(leader, later(now, this.#settings.leaseMs));
  }

  /** What that holder was promised binds nobody any longer. */
  releaseLease(now: Moment, leader: NodeId): void {
    const end = this.#leaseEnds.get(leader);
    if (end !== undefined && end > now) this.#leaseEnds.set(leader, now);
  }

  /** After a repair nothing is known of what was promised: everybody is held off for the span. */
  assumeUnknownLease(now: Moment): void {
    this.#priorLeaseEnd = later(now, this.#settings.leaseMs);
    this.#priorLeader = '';
  }

  /** Notes that what was promised to others has run out; says whether that is new. */
  onLeasesExpired(now: Moment): boolean {
    if (
      this.#lastGrant.isFree ||
      this.#lastGrant.grantedEpoch === 0 ||
      now < this.#lastGrant.leasesEndAt
    )
      return false;
    this.#lastGrant = { ...this.#lastGrant, isFree: true };
    return true;
  }

  /** How long from now promises to others still bind, with the span in which nobody orders; in milliseconds. */
  remainingLeaseMs(now: Moment, leader: NodeId): number {
    const { handoverGapMs, leaseMs, drift } = this.#settings;
    let until =
      leader === this.#priorLeader ? moment(now - handoverGapMs * 2) : this.#priorLeaseEnd;
    for (const [other, end] of this.#leaseEnds) if (other !== leader && end > until) until = end;
    // The holder's clock may be slow, ours and the winner's fast: each span is made longer by what they may differ.
    return Math.max(0, (until + handoverGapMs - now) * (1 + 3 * drift) + 2 * drift * leaseMs);
  }
}
