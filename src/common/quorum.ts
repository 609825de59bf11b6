import type { NodeId } from './ids.js';

/** Who votes. During a swap two sets stand side by side, and a majority is one of both. */
export class Quorum {
  readonly #sets: readonly (readonly NodeId[])[];
  readonly #all: readonly NodeId[];

  constructor(...setCount: readonly (readonly NodeId[])[]) {
    this.#sets = setCount;
    this.#all = [...new Set(setCount.flat())].sort();
  }

  get all(): readonly NodeId[] {
    return this.#all;
  }

  /** Two while a swap is under way. */
  get sets(): number {
    return this.#sets.length;
  }

  get text(): string {
    return this.#sets.join(' | ');
  }

  includes(id: NodeId): boolean {
    return this.#all.includes(id);
  }

  isMajority(ids: ReadonlySet<NodeId>): boolean {
    return (
      this.#sets.length > 0 &&
      this.#sets.every((set) => set.filter(ids.has, ids).length * 2 > set.length)
    );
  }

  /** Whether these alone, without `me`, meet every majority that could ever have included `me`. */
  coversWithout(me: NodeId, ids: ReadonlySet<NodeId>): boolean {
    const others = new Set(ids);
    others.delete(me);
    return this.#sets.every((set) => {
      // A set we never voted in decided nothing with us: what any majority of it holds is all there is.
      if (!set.includes(me)) return set.filter(others.has, others).length * 2 > set.length;
      const majority = Math.floor(set.length / 2) + 1;
      const absent = set.length - set.filter(others.has, others).length;
      // What is unread, `me` apart, must be too few to have made a majority together with `me`.
      return absent < majority;
    });
  }
}
