import { later, moment, type Epoch, type Moment, type NodeId } from '../common/ids.js';
import type { VoteRecord } from './vote-effect.js';
import type { VoteSettings } from './vote-settings.js';

interface Grant {
  readonly epoch: number;
  readonly leader: string;
  /** When nothing that was promised to others before this grant binds any more. */
  readonly freeAt: Moment;
  readonly isFree: boolean;
}

/**
 * What one voter has granted and promised: one leader an epoch, on disk, and to each holder a span from when it was last
 * heard in which no other may order. Spans are counted on this voter's monotonic clock.
 */
export class Promises {
  readonly #settings: VoteSettings;
  #granted: Grant;
  /** Until when each holder is promised that no other orders. */
  readonly #ends = new Map<string, Moment>();
  /** Until when what was promised before this process began may bind. */
  #bootEnd: Moment;
  /** The one to whom alone we may have promised something before we started; nothing where we cannot tell. */
  #bootLeader: string;

  constructor(settings: VoteSettings, now: Moment, record: VoteRecord) {
    const { spanMs, leaseMs, drift } = settings;
    const isFree = record.isFree === true;
    this.#settings = settings;
    this.#granted = {
      epoch: record.grantEpoch,
      leader: record.grantLeader,
      freeAt: later(now, (spanMs + leaseMs) * (1 + 5 * drift)),
      isFree,
    };
    // What we promised before a crash is gone from memory: hold as if promised this moment. Where the record says to whom
    // alone, that one is not held up by it: the same holder may go on at once.
    this.#bootLeader = isFree ? record.grantLeader : '';
    this.#bootEnd = record.grantEpoch > 0 ? later(now, spanMs) : moment(now - leaseMs);
  }

  /** The epoch granted last; 0 if none was. */
  get epoch(): number {
    return this.#granted.epoch;
  }

  /** To whom that epoch was granted; empty if none was. */
  get leader(): string {
    return this.#granted.leader;
  }

  record(epoch: Epoch): VoteRecord {
    return {
      epoch,
      grantEpoch: this.#granted.epoch,
      grantLeader: this.#granted.leader,
      isFree: this.#granted.isFree,
    };
  }

  isGrantedTo(leader: NodeId, epoch: Epoch): boolean {
    return this.#granted.epoch === epoch && this.#granted.leader === leader;
  }

  /** One grant an epoch, even if two winners of overlapping deferrals ask. */
  mayGrant(leader: NodeId, epoch: Epoch): boolean {
    return this.#granted.epoch < epoch || this.isGrantedTo(leader, epoch);
  }

  /** Grants an epoch that was not granted yet. `wait` is how long promises to others still bind, in milliseconds. */
  grant(now: Moment, leader: NodeId, epoch: Epoch, wait: number): void {
    this.#granted = { epoch, leader, freeAt: later(now, wait), isFree: wait <= 0 };
  }

  /** Promises the span from now on. */
  promise(now: Moment, leader: NodeId): void {
    this.#ends.set(leader, later(now, this.#settings.spanMs));
  }

  /** What that holder was promised binds nobody any longer. */
  release(now: Moment, leader: NodeId): void {
    const end = this.#ends.get(leader);
    if (end !== undefined && end > now) this.#ends.set(leader, now);
  }

  /** After a repair nothing is known of what was promised: everybody is held off for the span. */
  forget(now: Moment): void {
    this.#bootEnd = later(now, this.#settings.spanMs);
    this.#bootLeader = '';
  }

  /** Notes that what was promised to others has run out; says whether that is new. */
  noteFree(now: Moment): boolean {
    if (this.#granted.isFree || this.#granted.epoch === 0 || now < this.#granted.freeAt)
      return false;
    this.#granted = { ...this.#granted, isFree: true };
    return true;
  }

  /** How long from now promises to others still bind, with the span in which nobody orders; in milliseconds. */
  waitFor(now: Moment, leader: NodeId): number {
    const { leaseMs, spanMs, drift } = this.#settings;
    let until = leader === this.#bootLeader ? moment(now - leaseMs * 2) : this.#bootEnd;
    for (const [other, end] of this.#ends) if (other !== leader && end > until) until = end;
    // The holder's clock may be slow, ours and the winner's fast: each span is made longer by what they may differ.
    return Math.max(0, (until + leaseMs - now) * (1 + 3 * drift) + 2 * drift * spanMs);
  }
}
