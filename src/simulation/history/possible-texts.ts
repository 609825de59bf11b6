import type { Amend, KnownChange } from './orders.js';

/**
 * The texts that the document of each version may have. Orders that must never be in force count as well, so that a
 * document in force can be traced to the order that produced it.
 */

/** If a version has more possible texts than this, any text counts as possible. */
const MAX_TEXTS = 64;

function compareVersions(left: KnownChange, right: KnownChange): number {
  return left.version - right.version;
}

/** Determines for each version which texts the orders of a history may have produced. */
export class PossibleTexts {
  readonly #amend: Amend | undefined;
  /** Undefined for a version whose texts are unknown. */
  readonly #texts = new Map<number, Set<string> | undefined>([[0, new Set([''])]]);

  constructor(changes: readonly KnownChange[], amend: Amend | undefined) {
    this.#amend = amend;
    for (const change of [...changes].sort(compareVersions)) {
      if (change.version > change.base) this.#add(change);
    }
  }

  /** Whether this change may have produced a document with that text. */
  mayProduce(change: KnownChange, text: string): boolean {
    return this.#producedBy(change)?.has(text) ?? true;
  }

  /** Whether the base of this change may have a text to which the change can't be applied. */
  mayFail(change: KnownChange): boolean {
    if (change.kind === 'put' || !this.#amend) return false;
    const bases = this.#texts.get(change.base);
    if (!bases) return true;
    for (const base of bases) if (this.#amend(base, change.text) === undefined) return true;
    return false;
  }

  #add(change: KnownChange): void {
    const made = this.#producedBy(change);
    const texts = this.#texts.has(change.version)
      ? this.#texts.get(change.version)
      : new Set<string>();
    if (!made || !texts || texts.size + made.size > MAX_TEXTS) {
      this.#texts.set(change.version, undefined);
      return;
    }
    for (const text of made) texts.add(text);
    this.#texts.set(change.version, texts);
  }

  #producedBy(change: KnownChange): Set<string> | undefined {
    if (change.kind === 'put') return new Set([change.text]);
    if (!this.#amend) return undefined;
    if (!this.#texts.has(change.base)) return new Set();
    const bases = this.#texts.get(change.base);
    if (!bases) return undefined;
    const made = new Set<string>();
    for (const base of bases) {
      const text = this.#amend(base, change.text);
      if (text !== undefined) made.add(text);
    }
    return made;
  }
}
