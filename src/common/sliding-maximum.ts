import { later, type Moment } from './ids.js';

interface Sample {
  readonly value: number;
  readonly until: Moment;
}

/** The largest value that was in force at any time within a sliding window. */
export class SlidingMaximum {
  readonly #windowMs: number;
  /** The value in force. */
  #current = 0;
  /** Values that were larger and are in force no longer, from the largest to the smallest, each until it leaves the window. */
  #former: Sample[] = [];

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** The value in force changed, or stays. */
  set(now: Moment, value: number): void {
    if (value < this.#current)
      this.#former.push({ value: this.#current, until: later(now, this.#windowMs) });
    this.#current = value;
    // What is no larger than a later value can never be the largest again.
    while ((this.#former.at(-1)?.value ?? Infinity) <= value) this.#former.pop();
  }

  /** The largest value in the window that ends now. */
  value(now: Moment): number {
    while (this.#former[0] !== undefined && now >= this.#former[0].until) this.#former.shift();
    return this.#former[0]?.value ?? this.#current;
  }
}
