/** Spreads neighbouring seeds, so that their runs begin well apart. */
const SPREAD = 2654435761;

/** A seeded source of numbers: the same seed gives the same run. */
export class Seeded {
  #state: number;

  /** A spread of 1 begins at the seed itself, as runs whose seeds were recorded so need. */
  constructor(seed: number, spread = SPREAD) {
    this.#state = (seed * spread) >>> 0;
  }

  /** From 0 up to, not including, 1. */
  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0;
    let mixed = this.#state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  }

  below(most: number): number {
    return Math.floor(this.next() * most);
  }

  between(low: number, high: number): number {
    return low + this.next() * (high - low);
  }

  isLikely(chance: number): boolean {
    return this.next() < chance;
  }

  pick<T>(items: readonly T[]): T | undefined {
    return items[this.below(items.length)];
  }

  /** Of a few, the first most often: an item's share falls with its place. */
  pickSkewed<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(items.length * this.next() ** 2)];
  }
}
