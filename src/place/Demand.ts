import type { Moment } from '../kin/Ids.js';

interface Rate { value: number; at: Moment }

/** Recent demand per unit as a decaying rate a second. */
export class Demand {
  readonly #rates = new Map<string, Rate>();
  readonly #spanMs: number;

  constructor(spanMs: number) { this.#spanMs = spanMs; }

  add(now: Moment, unit: string, count: number): void {
    const value = this.rate(now, unit) + (count * 1000) / this.#spanMs;
    this.#rates.set(unit, { value, at: now });
  }

  rate(now: Moment, unit: string): number {
    const rate = this.#rates.get(unit);
    return rate ? rate.value * Math.exp(-(now - rate.at) / this.#spanMs) : 0;
  }

  units(): readonly string[] { return [...this.#rates.keys()]; }
}
