/** What began lately, against a ceiling on how much may begin in any span of a length. */
export class StoreWindow {
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

/** A rate a second that decays; it tells what it can from the first moments on. */
export class DecayingRate {
  #value = 0;
  #at = 0;

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
