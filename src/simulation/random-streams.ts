import { Seeded } from '../rehearsal/seeded.js';

const FNV_OFFSET = 2166136261;
const FNV_PRIME = 16777619;

/** FNV-1a over the characters of a text. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}

/**
 * The random numbers of one run, as independent streams by name. A fault that is taken out of a
 * schedule then leaves the draws of every other part of the run alone, which keeps shrinking local.
 */
export class RandomStreams {
  readonly #seed: number;
  readonly #streams = new Map<string, Seeded>();

  constructor(seed: number) {
    this.#seed = seed;
  }

  of(name: string): Seeded {
    const known = this.#streams.get(name);
    if (known) return known;
    const stream = new Seeded(hashText(`${this.#seed} ${name}`));
    this.#streams.set(name, stream);
    return stream;
  }
}
