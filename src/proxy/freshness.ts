import { later, moment, type Moment } from '../common/ids.js';

/** Whether this proxy's news is known to be the newest, counted from when it asked, on its own monotonic clock. */
export class Freshness {
  readonly #boundMs: number;
  #freshUntil: Moment = moment(-1);
  readonly #requests = new Map<number, Moment>();
  #nonce: number;

  /** Nonces begin at a number of this life's own: a confirmation for our former incarnation's ask must return none of ours. */
  constructor(boundMs: number, incarnation: number) {
    this.#boundMs = boundMs;
    this.#nonce = incarnation;
  }

  startRequest(now: Moment): number {
    this.#nonce += 1;
    this.#requests.set(this.#nonce, now);
    for (const [nonce, at] of this.#requests)
      if (now - at > this.#boundMs) this.#requests.delete(nonce);
    return this.#nonce;
  }

  /** A confirmation came; it counts only if what we hold is as new as what it names. */
  onConfirmed(nonce: number, isKnown: boolean): void {
    const at = this.#requests.get(nonce);
    if (at === undefined) return;
    // If we do not hold it yet, the ask stays open: the news may be just behind.
    if (!isKnown) return;
    this.#requests.delete(nonce);
    const until = later(at, this.#boundMs);
    if (until > this.#freshUntil) this.#freshUntil = until;
  }

  isFresh(now: Moment): boolean {
    return now < this.#freshUntil;
  }
}
