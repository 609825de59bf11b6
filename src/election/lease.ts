import { later, moment, type Moment, type NodeId } from '../common/ids.js';
import type { Quorum } from '../common/quorum.js';
import type { VoteSettings } from './vote-settings.js';

interface Renewal {
  readonly sentAt: Moment;
  readonly acknowledgedBy: Set<NodeId>;
}

/**
 * The lease of one holder: who granted it the epoch, and which of its renewals a majority has returned. It ends a fixed
 * span after the newest of these was sent, by the holder's monotonic clock.
 */
export class Lease {
  readonly #settings: VoteSettings;
  /** Who granted us this epoch, and until when what each promised to others binds us. */
  readonly #grants = new Map<NodeId, Moment>();
  readonly #renewals = new Map<number, Renewal>();
  #nonce = 0;
  #ordersAllowedFrom: Moment = moment(0);
  /** What voters of before said when the voters changed: a former holder may be bound to some of those alone. */
  #earliestOrder: Moment = moment(0);
  #end: Moment = moment(-1);
  #lastRenewalAt: Moment = moment(0);

  constructor(settings: VoteSettings) {
    this.#settings = settings;
  }

  /** Orders may be under way only before it. */
  get end(): Moment {
    return this.#end;
  }

  isGranted(quorum: Quorum): boolean {
    return quorum.isMajority(new Set(this.#grants.keys()));
  }

  mayOrder(now: Moment, quorum: Quorum): boolean {
    // The voters may be others by now than those that granted: a former holder may be bound to some of these alone.
    return this.isGranted(quorum) && now >= this.#ordersAllowedFrom && now < this.#end;
  }

  /** Begins an epoch that was won; returns the nonce of the first renewal, which asks for grants as well. */
  begin(now: Moment): number {
    this.clear();
    this.#ordersAllowedFrom = now;
    this.#lastRenewalAt = now;
    return this.#openRenewal(now);
  }

  clear(): void {
    this.#grants.clear();
    this.#renewals.clear();
    this.#end = moment(-1);
  }

  /** Counts a voter's grant; `wait` is how long its promises to others still bind, in milliseconds. */
  countGrant(now: Moment, from: NodeId, waitMs: number, quorum: Quorum): void {
    const known = this.#grants.get(from);
    // Told again by a later renewal, a promise still ends when it was first said to.
    if (known === undefined || later(now, waitMs) < known)
      this.#grants.set(from, later(now, waitMs));
    this.updateOrderStart(quorum);
  }

  /** Any majority of grants shares a voter with the one that renewed the holder before us: the one free first is enough. */
  updateOrderStart(quorum: Quorum): void {
    const ends = [...this.#grants].sort(byTime);
    const free = new Set<NodeId>();
    for (const [peer, end] of ends) {
      free.add(peer);
      if (!quorum.isMajority(free)) continue;
      this.#ordersAllowedFrom = end > this.#earliestOrder ? end : this.#earliestOrder;
      return;
    }
  }

  /**
   * Keeps the wait for a former holder when the voters change, in later terms of this process as well. Voters that come in
   * have promised nobody anything: by them alone a former holder's lease would count for nothing.
   */
  retainHandoverWait(): void {
    if (this.#ordersAllowedFrom > this.#earliestOrder)
      this.#earliestOrder = this.#ordersAllowedFrom;
  }

  /** The nonce of a renewal that is to be sent now; nothing where none is due. */
  renew(now: Moment): number | undefined {
    const { renewMs, leaseMs } = this.#settings;
    if (now < later(this.#lastRenewalAt, renewMs)) return undefined;
    this.#lastRenewalAt = now;
    const nonce = this.#openRenewal(now);
    for (const [old, renewal] of this.#renewals)
      if (now - renewal.sentAt > leaseMs) this.#renewals.delete(old);
    return nonce;
  }

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

function byTime(a: readonly [NodeId, Moment], b: readonly [NodeId, Moment]): number {
  return a[1] - b[1];
}
