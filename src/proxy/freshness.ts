import { later, moment, type Moment } from '../common/ids.js';

/** Whether this proxy's news is known to be the newest, counted from when it asked, on its own monotonic clock. */
export class Freshness {
  readonly #blindMs: number;
  #freshUntil: Moment = moment(-1);
  readonly #asks = new Map<number, Moment>();
  #nonce: number;

  /** Nonces begin at a number of this life's own: a confirmation for our former incarnation's ask must return none of ours. */
  constructor(blindMs: number, incarnation: number) {
    this.#blindMs = blindMs;
    this.#nonce = incarnation;
  }

  ask(now: Moment): number {
    this.#nonce += 1;
    this.#asks.set(this.#nonce, now);
    for (const [nonce, at] of this.#asks) if (now - at > this.#blindMs) this.#asks.delete(nonce);
    return this.#nonce;
  }

  /** A confirmation came; it counts only if what we hold is as new as what it names. */
  confirmFreshness(nonce: number, isHeld: boolean): void {
    const at = this.#asks.get(nonce);
    if (at === undefined) return;
    // If we do not hold it yet, the ask stays open: the news may be just behind.
    if (!isHeld) return;
    this.#asks.delete(nonce);
    const until = later(at, this.#blindMs);
    if (until > this.#freshUntil) this.#freshUntil = until;
  }

  isFresh(now: Moment): boolean {
    return now < this.#freshUntil;
  }
}
