import { SeededRandom } from '../rehearsal/seeded-random.js';

const FNV_OFFSET = 2166136261;
const FNV_PRIME = 16777619;

/** The 32-bit FNV-1a hash of the characters of a text. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}

/**
 * The random numbers of one run, as independent streams by name. A fault that is removed from a schedule then leaves the
 * draws of all other parts of the run unchanged, which keeps the effect of shrinking local.
 */
export class RandomStreams {
  readonly #seed: number;
  readonly #streams = new Map<string, SeededRandom>();

  constructor(seed: number) {
    this.#seed = seed;
  }

  /** The stream of a name; the same object on each call. */
  of(name: string): SeededRandom {
    const known = this.#streams.get(name);
    if (known) return known;
    const stream = new SeededRandom(hashText(`${this.#seed} ${name}`));
    this.#streams.set(name, stream);
    return stream;
  }
}
