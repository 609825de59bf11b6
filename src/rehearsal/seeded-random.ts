/** Multiplier of seeds: neighboring seeds start far apart in the generator's sequence. */
const SEED_MULTIPLIER = 2654435761;

/** A seeded pseudorandom number generator: the same seed gives the same sequence. */
export class SeededRandom {
  #state: number;

  /** A multiplier of 1 starts at the seed itself; runs whose seeds were recorded that way need it. */
  constructor(seed: number, multiplier = SEED_MULTIPLIER) {
    this.#state = (seed * multiplier) >>> 0;
  }

  /** Returns the next number from 0 (inclusive) to 1 (exclusive). */
  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0;
    let mixed = this.#state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  }

  /** Returns an integer from 0 (inclusive) to `limit` (exclusive). */
  below(limit: number): number {
    return Math.floor(this.next() * limit);
  }

  /** Returns a number from `low` (inclusive) to `high` (exclusive). */
  between(low: number, high: number): number {
    return low + this.next() * (high - low);
  }

  /** Returns true with the given probability (0 to 1). */
  isLikely(probability: number): boolean {
    return this.next() < probability;
  }

  /** Returns a uniformly chosen item, or undefined if there are none. */
  pick<T>(items: readonly T[]): T | undefined {
    return items[this.below(items.length)];
  }

  /** Returns an item with a bias towards the front: the probability of an item falls with its index. */
  pickSkewed<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(items.length * this.next() ** 2)];
  }
}
