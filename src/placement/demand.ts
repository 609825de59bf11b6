import type { Moment } from '../common/ids.js';

/** More than the models and adapters of any catalogue: beyond it, stale units are removed. */
const SWEEP_THRESHOLD_UNITS = 2000;

interface Rate {
  value: number;
  updatedAt: Moment;
}

/** Recent demand per unit (a model or adapter key) as a decaying rate per second. */
export class Demand {
  readonly #rates = new Map<string, Rate>();
  readonly #decayMs: number;
  #sweptAt = -Infinity;

  /** `decayMs`: the time constant of the decay. */
  constructor(decayMs: number) {
    this.#decayMs = decayMs;
  }

  /** Counts `count` requests for a unit. */
  add(now: Moment, unit: string, count: number): void {
    const value = this.rate(now, unit) + (count * 1000) / this.#decayMs;
    this.#rates.set(unit, { value, updatedAt: now });
    // Clients choose the names freely: units requested only once must not accumulate without bound.
    if (this.#rates.size > SWEEP_THRESHOLD_UNITS && now - this.#sweptAt > this.#decayMs) {
      this.#sweptAt = now;
      for (const [other, rate] of this.#rates)
        if (now - rate.updatedAt > this.#decayMs * 10) this.#rates.delete(other);
    }
  }

  /** Requests per second for a unit at `now`. */
  rate(now: Moment, unit: string): number {
    const rate = this.#rates.get(unit);
    return rate ? rate.value * Math.exp(-(now - rate.updatedAt) / this.#decayMs) : 0;
  }

  /** All units with a stored rate. */
  units(): readonly string[] {
    return [...this.#rates.keys()];
  }
}
