/** An exponentially decaying event rate. */
export class DecayingRate {
  #value = 0;
  #at = 0;

  /** Counts `count` events at `now`, ms. `tauMs`: the decay's time constant, the same in every call. */
  add(now: number, count: number, tauMs: number): void {
    this.#value = this.#value * Math.exp(-Math.max(0, now - this.#at) / tauMs) + count;
    this.#at = Math.max(this.#at, now);
  }

  /**
   * Events per second. `since`: when counting began. The rate is scaled up for a short observation time, which would
   * otherwise look like a low rate.
   */
  perSecond(now: number, tauMs: number, since: number): number {
    if (this.#value === 0) return 0;
    const share = 1 - Math.exp(-Math.max(1000, now - since) / tauMs);
    return (this.#value * Math.exp(-Math.max(0, now - this.#at) / tauMs) * 1000) / (tauMs * share);
  }

  /** The decayed number of counted events. */
  weight(now: number, tauMs: number): number {
    return this.#value * Math.exp(-Math.max(0, now - this.#at) / tauMs);
  }
}
