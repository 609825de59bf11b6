/** What began lately, against a ceiling on how much may begin in any span of a length. */
export class SlidingWindowLimit {
  readonly #spanMs: number;
  /** Oldest first. */
  #begun: number[] = [];

  constructor(spanMs: number) {
    this.#spanMs = spanMs;
  }

  /** A start is told by its latest possible moment, so that it is never forgotten too soon. */
  add(at: number): void {
    let index = this.#begun.length;
    while (index > 0 && (this.#begun[index - 1] ?? 0) > at) index -= 1;
    this.#begun.splice(index, 0, at);
  }

  /** How many began within the span that ends `now`. */
  used(now: number): number {
    let gone = 0;
    while (gone < this.#begun.length && (this.#begun[gone] ?? 0) <= now - this.#spanMs) gone += 1;
    if (gone > 0) this.#begun.splice(0, gone);
    return this.#begun.length;
  }

  /** From when on fewer than `budget` count. */
  freeAt(now: number, budget: number): number {
    const used = this.used(now);
    if (used < budget) return now;
    return (this.#begun[used - budget] ?? now) + this.#spanMs;
  }
}
