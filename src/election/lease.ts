import { later, moment, type Moment, type NodeId } from '../common/ids.js';
import type { Quorum } from '../common/quorum.js';
import type { VoteSettings } from './vote-settings.js';

/** A renewal that a majority has not acknowledged yet. */
interface Renewal {
  readonly sentAt: Moment;
  readonly acknowledgedBy: Set<NodeId>;
}

/**
 * The lease of a leader: which voters granted it the epoch, and which of its renewals a majority has acknowledged. It
 * ends `leaseMs` after the newest of these was sent, on the leader's monotonic clock.
 */
export class Lease {
  readonly #settings: VoteSettings;
  /** The voters that granted this epoch, and until when the leases that each granted to other leaders bind. */
  readonly #grantWaitEnds = new Map<NodeId, Moment>();
  readonly #renewals = new Map<number, Renewal>();
  #nonce = 0;
  #ordersAllowedFrom: Moment = moment(0);
  /** Lower bound retained when the voters change: the lease of a previous leader may rest on former voters alone. */
  #minOrdersAllowedFrom: Moment = moment(0);
  #end: Moment = moment(-1);
  #lastRenewalAt: Moment = moment(0);

  constructor(settings: VoteSettings) {
    this.#settings = settings;
  }

  /** The end of the lease; orders may be in flight only before it. */
  get end(): Moment {
    return this.#end;
  }

  /** Whether a majority of the voters has granted the epoch. */
  isGranted(quorum: Quorum): boolean {
    return quorum.isMajority(new Set(this.#grantWaitEnds.keys()));
  }

  /** Whether orders may be sent at `now`. */
  mayOrder(now: Moment, quorum: Quorum): boolean {
    // The voters may have changed since the grants: the lease of a previous leader may rest on the current ones alone.
    return this.isGranted(quorum) && now >= this.#ordersAllowedFrom && now < this.#end;
  }

  /** Starts the lease of a newly won epoch; returns the nonce of the first renewal, which also requests the grants. */
  begin(now: Moment): number {
    this.clear();
    this.#ordersAllowedFrom = now;
    this.#lastRenewalAt = now;
    return this.#openRenewal(now);
  }

  /** Ends the lease and forgets its grants and renewals. */
  clear(): void {
    this.#grantWaitEnds.clear();
    this.#renewals.clear();
    this.#end = moment(-1);
  }

  /** Counts a voter's grant; `waitMs` is for how long the leases that it granted to other leaders still bind. */
  countGrant(now: Moment, from: NodeId, waitMs: number, quorum: Quorum): void {
    const knownEnd = this.#grantWaitEnds.get(from);
    // A grant repeated in reply to a later renewal may end the wait earlier, but never extends it.
    if (knownEnd === undefined || later(now, waitMs) < knownEnd)
      this.#grantWaitEnds.set(from, later(now, waitMs));
    this.updateOrderStart(quorum);
  }

  /**
   * Updates from when orders are allowed. Any majority of the granting voters shares a voter with the majority that
   * renewed the previous leader's lease, so it is enough to wait for the first majority whose waits have ended.
   */
  updateOrderStart(quorum: Quorum): void {
    const waitEnds = [...this.#grantWaitEnds].sort(byEndTime);
    const available = new Set<NodeId>();
    for (const [peer, end] of waitEnds) {
      available.add(peer);
      if (!quorum.isMajority(available)) continue;
      this.#ordersAllowedFrom = end > this.#minOrdersAllowedFrom ? end : this.#minOrdersAllowedFrom;
      return;
    }
  }

  /**
   * Retains the wait for a previous leader's lease when the voters change, for later epochs of this process too. New
   * voters have granted no lease: a majority of them alone would ignore the lease of the previous leader.
   */
  retainHandoverWait(): void {
    if (this.#ordersAllowedFrom > this.#minOrdersAllowedFrom)
      this.#minOrdersAllowedFrom = this.#ordersAllowedFrom;
  }

  /** Starts a renewal if one is due and returns its nonce, else undefined. */
  renew(now: Moment): number | undefined {
    const { renewMs, leaseMs } = this.#settings;
    if (now < later(this.#lastRenewalAt, renewMs)) return undefined;
    this.#lastRenewalAt = now;
    const nonce = this.#openRenewal(now);
    for (const [old, renewal] of this.#renewals)
      if (now - renewal.sentAt > leaseMs) this.#renewals.delete(old);
    return nonce;
  }

  /** Counts a voter's acknowledgement of a renewal; a majority extends the lease, counted from when it was sent. */
  countRenewal(from: NodeId, nonce: number, quorum: Quorum): void {
    const renewal = this.#renewals.get(nonce);
    if (!renewal) return;
    renewal.acknowledgedBy.add(from);
    if (!quorum.isMajority(renewal.acknowledgedBy)) return;
    const end = later(renewal.sentAt, this.#settings.leaseMs);
    if (end > this.#end) this.#end = end;
    for (const old of this.#renewals.keys()) if (old <= nonce) this.#renewals.delete(old);
  }

  #openRenewal(now: Moment): number {
    this.#nonce += 1;
    this.#renewals.set(this.#nonce, { sentAt: now, acknowledgedBy: new Set() });
    return this.#nonce;
  }
}

function byEndTime(a: readonly [NodeId, Moment], b: readonly [NodeId, Moment]): number {
  return a[1] - b[1];
}
