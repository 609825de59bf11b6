import type { Moment } from '../common/ids.js';

/** More than any catalogue's models and adapters. */
const MANY = 2000;

interface Rate {
  value: number;
  at: Moment;
}

/** Recent demand per unit as a decaying rate a second. */
export class Demand {
  readonly #rates = new Map<string, Rate>();
  readonly #spanMs: number;
  #sweptAt = -Infinity;

  constructor(spanMs: number) {
    this.#spanMs = spanMs;
  }

  /** Counts `count` requests for a unit. */
  add(now: Moment, unit: string, count: number): void {
    const value = this.rate(now, unit) + (count * 1000) / this.#spanMs;
    this.#rates.set(unit, { value, at: now });
    // Callers name what they like: what was asked for once must not be kept for good.
    if (this.#rates.size > MANY && now - this.#sweptAt > this.#spanMs) {
      this.#sweptAt = now;
      for (const [other, rate] of this.#rates)
        if (now - rate.at > this.#spanMs * 10) this.#rates.delete(other);
    }
  }

  /** Requests a second for a unit, as of `now`. */
  rate(now: Moment, unit: string): number {
    const rate = this.#rates.get(unit);
    return rate ? rate.value * Math.exp(-(now - rate.at) / this.#spanMs) : 0;
  }

  /** Every unit that is remembered. */
  units(): readonly string[] {
    return [...this.#rates.keys()];
  }
}
