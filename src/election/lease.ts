import { later, moment, type Moment, type NodeId } from '../common/ids.js';
import type { Quorum } from '../common/quorum.js';
import type { VoteSettings } from './vote-settings.js';

interface Renewal {
  readonly sent: Moment;
  readonly by: Set<NodeId>;
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
  #orderFrom: Moment = moment(0);
  /** What voters of before said when the voters changed: a former holder may be bound to some of those alone. */
  #notBefore: Moment = moment(0);
  #end: Moment = moment(-1);
  #renewedAt: Moment = moment(0);

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
    return this.isGranted(quorum) && now >= this.#orderFrom && now < this.#end;
  }

  /** Begins an epoch that was won; returns the nonce of the first renewal, which asks for grants as well. */
  begin(now: Moment): number {
    this.clear();
    this.#orderFrom = now;
    this.#renewedAt = now;
    return this.#open(now);
  }

  clear(): void {
    this.#grants.clear();
    this.#renewals.clear();
    this.#end = moment(-1);
  }

  /** Counts a voter's grant; `wait` is how long its promises to others still bind, in milliseconds. */
  countGrant(now: Moment, from: NodeId, wait: number, quorum: Quorum): void {
    const known = this.#grants.get(from);
    // Told again by a later renewal, a promise still ends when it was first said to.
    if (known === undefined || later(now, wait) < known) this.#grants.set(from, later(now, wait));
    this.settleOrderFrom(quorum);
  }

  /** Any majority of grants shares a voter with the one that renewed the holder before us: the one free first is enough. */
  settleOrderFrom(quorum: Quorum): void {
    const ends = [...this.#grants].sort(byEnd);
    const free = new Set<NodeId>();
    for (const [peer, end] of ends) {
      free.add(peer);
      if (!quorum.isMajority(free)) continue;
      this.#orderFrom = end > this.#notBefore ? end : this.#notBefore;
      return;
    }
  }

  /**
   * Keeps the wait for a former holder when the voters change, in later terms of this process as well. Voters that come in
   * have promised nobody anything: by them alone a former holder's lease would count for nothing.
   */
  keepWait(): void {
    if (this.#orderFrom > this.#notBefore) this.#notBefore = this.#orderFrom;
  }

  /** The nonce of a renewal that is to be sent now; nothing where none is due. */
  renew(now: Moment): number | undefined {
    const { renewMs, spanMs } = this.#settings;
    if (now < later(this.#renewedAt, renewMs)) return undefined;
    this.#renewedAt = now;
    const nonce = this.#open(now);
    for (const [old, renewal] of this.#renewals)
      if (now - renewal.sent > spanMs) this.#renewals.delete(old);
    return nonce;
  }

  countRenewal(from: NodeId, nonce: number, quorum: Quorum): void {
    const renewal = this.#renewals.get(nonce);
    if (!renewal) return;
    renewal.by.add(from);
    if (!quorum.isMajority(renewal.by)) return;
    const end = later(renewal.sent, this.#settings.spanMs);
    if (end > this.#end) this.#end = end;
    for (const old of this.#renewals.keys()) if (old <= nonce) this.#renewals.delete(old);
  }

  #open(now: Moment): number {
    this.#nonce += 1;
    this.#renewals.set(this.#nonce, { sent: now, by: new Set() });
    return this.#nonce;
  }
}

function byEnd(a: readonly [NodeId, Moment], b: readonly [NodeId, Moment]): number {
  return a[1] - b[1];
}
