import type { NodeId } from './ids.js';

/** The voters. While a voter is being replaced there are two sets, and a majority needs a majority of each. */
export class Quorum {
  readonly #sets: readonly (readonly NodeId[])[];
  readonly #all: readonly NodeId[];

  constructor(...sets: readonly (readonly NodeId[])[]) {
    this.#sets = sets;
    this.#all = [...new Set(sets.flat())].sort();
  }

  /** All voters of all sets, sorted, each once. */
  get all(): readonly NodeId[] {
    return this.#all;
  }

  /** Number of sets: two while a voter is being replaced, else one; 0 if there are no voters. */
  get sets(): number {
    return this.#sets.length;
  }

  /** The voters of each set. */
  get memberSets(): readonly (readonly NodeId[])[] {
    return this.#sets;
  }

  /** The sets as text, for logs and status. */
  get text(): string {
    return this.#sets.join(' | ');
  }

  /** Whether the node is a voter of any set. */
  includes(id: NodeId): boolean {
    return this.#all.includes(id);
  }

  /** Whether the nodes include a majority of each set. */
  isMajority(ids: ReadonlySet<NodeId>): boolean {
    return (
      this.#sets.length > 0 &&
      this.#sets.every((set) => set.filter(ids.has, ids).length * 2 > set.length)
    );
  }

  /** Whether the nodes, without `me`, intersect every majority that can have included `me`. */
  coversWithout(me: NodeId, ids: ReadonlySet<NodeId>): boolean {
    const others = new Set(ids);
    others.delete(me);
    return this.#sets.every((set) => {
      // `me` was never a voter of this set, so a majority of the set has all that the set decided.
      if (!set.includes(me)) return set.filter(others.has, others).length * 2 > set.length;
      const majority = Math.floor(set.length / 2) + 1;
      const absent = set.length - set.filter(others.has, others).length;
      // The nodes that were not read, with `me`, must be too few for a majority.
      return absent < majority;
    });
  }
}
