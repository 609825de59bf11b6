import { later, moment, type Epoch, type Moment, type NodeId } from '../common/ids.js';
import type { VoteRecord } from './vote-effect.js';
import type { VoteSettings } from './vote-settings.js';

/** The newest epoch that this voter has granted. */
interface Grant {
  readonly grantedEpoch: number;
  readonly grantedLeader: string;
  /** When all leases granted to other leaders before this grant, and the handover gap after them, are over. */
  readonly otherLeasesEndAt: Moment;
  /** Whether that time is known to have passed. */
  readonly isFree: boolean;
}

/**
 * The epochs and leases that one voter has granted: each epoch to one leader, on disk, and to each leader a lease from
 * when it was last heard, during which no other may send orders. Times are on this voter's monotonic clock.
 */
export class VoteGrants {
  readonly #settings: VoteSettings;
  #lastGrant: Grant;
  /** When the lease granted to each leader ends. */
  readonly #leaseEnds = new Map<string, Moment>();
  /** When the leases granted before this process started have ended. */
  #priorLeaseEnd: Moment;
  /** The only leader that may hold a lease granted before this process started; empty if that is not known. */
  #priorLeader: string;
  /** Whether this voter was repaired and has granted no epoch since: it does not know which lease it granted before. */
  #hasUnknownLease: boolean;

  constructor(settings: VoteSettings, now: Moment, record: VoteRecord) {
    const { leaseMs, handoverGapMs, drift } = settings;
    const isFree = record.isFree === true;
    this.#settings = settings;
    this.#lastGrant = {
      grantedEpoch: record.grantEpoch,
      grantedLeader: record.grantLeader,
      otherLeasesEndAt: later(now, (leaseMs + handoverGapMs) * (1 + 5 * drift)),
      isFree,
    };
    // Leases granted before a crash are not on disk: assume that they were granted just now. If the record says that
    // only one leader can hold one, that leader need not wait for it and may continue at once.
    this.#priorLeader = isFree ? record.grantLeader : '';
    this.#hasUnknownLease = record.hasUnknownLease === true;
    const mayHaveGranted = record.grantEpoch > 0 || this.#hasUnknownLease;
    this.#priorLeaseEnd = mayHaveGranted ? later(now, leaseMs) : moment(now - handoverGapMs);
  }

  /** The epoch granted last; 0 if none was. */
  get epoch(): number {
    return this.#lastGrant.grantedEpoch;
  }

  /** The leader that this epoch was granted to; empty if none was. */
  get leader(): string {
    return this.#lastGrant.grantedLeader;
  }

  /** The record to store for a voter in `epoch`. */
  record(epoch: Epoch): VoteRecord {
    return {
      epoch,
      grantEpoch: this.#lastGrant.grantedEpoch,
      grantLeader: this.#lastGrant.grantedLeader,
      isFree: this.#lastGrant.isFree,
      ...(this.#hasUnknownLease ? { hasUnknownLease: true } : {}),
    };
  }

  /** Whether the last grant gave `epoch` to `leader`. */
  isGrantedTo(leader: NodeId, epoch: Epoch): boolean {
    return this.#lastGrant.grantedEpoch === epoch && this.#lastGrant.grantedLeader === leader;
  }

  /** Whether `epoch` may be granted to `leader`: once per epoch, even if overlapping deferrals make two winners. */
  mayGrant(leader: NodeId, epoch: Epoch): boolean {
    return this.#lastGrant.grantedEpoch < epoch || this.isGrantedTo(leader, epoch);
  }

  /** Grants an epoch that was not granted yet; `waitMs` is for how long leases granted to other leaders still bind. */
  grant(now: Moment, leader: NodeId, epoch: Epoch, waitMs: number): void {
    // Until the wait is over the record says that the grant is not free, which binds in the same way.
    this.#hasUnknownLease = false;
    this.#lastGrant = {
      grantedEpoch: epoch,
      grantedLeader: leader,
      otherLeasesEndAt: later(now, waitMs),
      isFree: waitMs <= 0,
    };
  }

  /** Grants or extends the lease of `leader`, counted from now. */
  extendLease(now: Moment, leader: NodeId): void {
    this.#leaseEnds.set(leader, later(now, this.#settings.leaseMs));
  }

  /** Ends the lease granted to `leader`. */
  releaseLease(now: Moment, leader: NodeId): void {
    const end = this.#leaseEnds.get(leader);
    if (end !== undefined && end > now) this.#leaseEnds.set(leader, now);
  }

  /**
   * After a repair the granted leases are unknown: every leader must wait as if one had been granted just now. The record
   * says so until the next grant, so that the voter knows it after a restart as well.
   */
  assumeUnknownLease(now: Moment): void {
    this.#hasUnknownLease = true;
    this.#priorLeaseEnd = later(now, this.#settings.leaseMs);
    this.#priorLeader = '';
  }

  /** Marks the last grant as free once the leases granted to other leaders have expired; returns whether it changed. */
  expireLeases(now: Moment): boolean {
    if (
      this.#lastGrant.isFree ||
      this.#lastGrant.grantedEpoch === 0 ||
      now < this.#lastGrant.otherLeasesEndAt
    )
      return false;
    this.#lastGrant = { ...this.#lastGrant, isFree: true };
    return true;
  }

  /** For how long `leader` must wait for the leases granted to others and the handover gap, in milliseconds. */
  remainingLeaseMs(now: Moment, leader: NodeId): number {
    const { handoverGapMs, leaseMs, drift } = this.#settings;
    let leaseEnd =
      leader === this.#priorLeader ? moment(now - handoverGapMs * 2) : this.#priorLeaseEnd;
    for (const [other, end] of this.#leaseEnds)
      if (other !== leader && end > leaseEnd) leaseEnd = end;
    // The lease holder's clock may be slow while this voter's and the winner's are fast: each period is extended by as
    // much as they may differ.
    return Math.max(0, (leaseEnd + handoverGapMs - now) * (1 + 3 * drift) + 2 * drift * leaseMs);
  }
}
