/** A small generator of pseudo-random numbers: the same seed gives the same sequence everywhere. */

const UINT32_RANGE = 0x1_0000_0000;
const WEYL_INCREMENT = 0x6d2b_79f5;

/** Draws numbers and choices from a 32-bit seed (mulberry32). */
export class Random {
  #state: number;

  constructor(seed: number) {
    this.#state = seed >>> 0;
  }

  /** A fraction from 0 (included) to 1 (excluded). */
  fraction(): number {
    this.#state = (this.#state + WEYL_INCREMENT) >>> 0;
    let mixed = this.#state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE;
  }

  /** A number between two bounds, rounded to two decimals. */
  between(low: number, high: number): number {
    return Math.round((low + this.fraction() * (high - low)) * 100) / 100;
  }

  /** A whole number from `low` to `high`, both included. */
  whole(low: number, high: number): number {
    return low + Math.floor(this.fraction() * (high - low + 1));
  }

  /** True with the given probability. */
  chance(probability: number): boolean {
    return this.fraction() < probability;
  }

  /** One of the items, each as likely as the others. */
  choice<Item>(items: readonly Item[]): Item {
    const item = items[this.whole(0, items.length - 1)];
    if (item === undefined) throw new RangeError('nothing to choose from');
    return item;
  }

  /** The items whose own coin falls on heads, in their order. */
  subset<Item>(items: readonly Item[], probability: number): Item[] {
    const chosen: Item[] = [];
    for (const item of items) if (this.chance(probability)) chosen.push(item);
    return chosen;
  }
}
