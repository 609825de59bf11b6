import { later, type Moment } from './ids.js';

interface Sample {
  readonly value: number;
  readonly until: Moment;
}

/** The maximum of a value that changes over time, over a sliding window. */
export class SlidingMaximum {
  readonly #windowMs: number;
  /** The current value. */
  #current = 0;
  /** Former values that were larger than all later ones, in descending order, each with the end of its time in the window. */
  #former: Sample[] = [];

  /** `windowMs` is the length of the window in milliseconds. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Sets the current value. */
  set(now: Moment, value: number): void {
    if (value < this.#current)
      this.#former.push({ value: this.#current, until: later(now, this.#windowMs) });
    this.#current = value;
    // A value that is not larger than a later one can no longer be the maximum.
    while ((this.#former.at(-1)?.value ?? Infinity) <= value) this.#former.pop();
  }

  /** The maximum over the window that ends at `now`. */
  value(now: Moment): number {
    while (this.#former[0] !== undefined && now >= this.#former[0].until) this.#former.shift();
    return this.#former[0]?.value ?? this.#current;
  }
}
