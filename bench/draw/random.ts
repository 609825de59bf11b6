/** A small pseudo-random number generator: the same seed gives the same sequence on every platform. */

const UINT32_RANGE = 0x1_0000_0000;
const WEYL_INCREMENT = 0x6d2b_79f5;

/** Draws numbers and choices from a 32-bit seed (mulberry32). */
export class Random {
  #state: number;

  constructor(seed: number) {
    this.#state = seed >>> 0;
  }

  /** Draws a number from 0 (inclusive) to 1 (exclusive). */
  fraction(): number {
    this.#state = (this.#state + WEYL_INCREMENT) >>> 0;
    let mixed = this.#state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE;
  }

  /** Draws a number between two bounds, rounded to two decimals. */
  between(low: number, high: number): number {
    return Math.round((low + this.fraction() * (high - low)) * 100) / 100;
  }

  /** Draws an integer from `low` to `high`, both inclusive. */
  integer(low: number, high: number): number {
    return low + Math.floor(this.fraction() * (high - low + 1));
  }

  /** Returns true with the given probability. */
  chance(probability: number): boolean {
    return this.fraction() < probability;
  }

  /**
   * Draws one of the items with equal probability.
   *
   * @throws {RangeError} if there are no items.
   */
  choice<Item>(items: readonly Item[]): Item {
    const item = items[this.integer(0, items.length - 1)];
    if (item === undefined) throw new RangeError('cannot choose from an empty list');
    return item;
  }

  /** Selects each item independently with the given probability; keeps their order. */
  subset<Item>(items: readonly Item[], probability: number): Item[] {
    const chosen: Item[] = [];
    for (const item of items) if (this.chance(probability)) chosen.push(item);
    return chosen;
  }
}
