/** Counts starts within a sliding window, for a limit on the starts in any window of that length. */
export class SlidingWindowLimit {
  readonly #windowMs: number;
  /** Oldest first. */
  #startTimes: number[] = [];

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Records a start, `at` its latest possible time, so that it does not leave the window too early. */
  add(at: number): void {
    let index = this.#startTimes.length;
    while (index > 0 && (this.#startTimes[index - 1] ?? 0) > at) index -= 1;
    this.#startTimes.splice(index, 0, at);
  }

  /** The number of starts within the window that ends at `now`. */
  used(now: number): number {
    let expired = 0;
    while (
      expired < this.#startTimes.length &&
      (this.#startTimes[expired] ?? 0) <= now - this.#windowMs
    )
      expired += 1;
    if (expired > 0) this.#startTimes.splice(0, expired);
    return this.#startTimes.length;
  }

  /** The earliest time at which the window holds fewer than `budget` starts. */
  freeAt(now: number, budget: number): number {
    const used = this.used(now);
    if (used < budget) return now;
    return (this.#startTimes[used - budget] ?? now) + this.#windowMs;
  }
}
