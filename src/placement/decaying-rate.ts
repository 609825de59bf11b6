/** A rate a second that decays; it tells what it can from the first moments on. */
export class DecayingRate {
  #value = 0;
  #at = 0;

  /** Counts `count` events at `now`, ms; `spanMs` is how slowly they are forgotten, and the same in every call. */
  add(now: number, count: number, spanMs: number): void {
    this.#value = this.#value * Math.exp(-Math.max(0, now - this.#at) / spanMs) + count;
    this.#at = Math.max(this.#at, now);
  }

  /** `since`: when counting began; a short time counted is no slow rate. */
  perSecond(now: number, spanMs: number, since: number): number {
    if (this.#value === 0) return 0;
    const seen = 1 - Math.exp(-Math.max(1000, now - since) / spanMs);
    return (this.#value * Math.exp(-Math.max(0, now - this.#at) / spanMs) * 1000) / (spanMs * seen);
  }

  /** How much of what was counted still counts. */
  weight(now: number, spanMs: number): number {
    return this.#value * Math.exp(-Math.max(0, now - this.#at) / spanMs);
  }
}
