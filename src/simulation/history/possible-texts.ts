import type { Amend, KnownChange } from './orders.js';

/**
 * Which texts the document of a version may have, whoever made it: also orders that must not be in force count, so
 * that a document in force can be traced to the order that made it.
 */

/** Beyond so many texts of one version any text passes. */
const MAX_TEXTS = 64;

function byVersion(left: KnownChange, right: KnownChange): number {
  return left.version - right.version;
}

export class PossibleTexts {
  readonly #amend: Amend | undefined;
  /** Nothing for a version whose text is not known. */
  readonly #texts = new Map<number, Set<string> | undefined>([[0, new Set([''])]]);

  constructor(changes: readonly KnownChange[], amend: Amend | undefined) {
    this.#amend = amend;
    for (const change of [...changes].sort(byVersion)) {
      if (change.version > change.base) this.#add(change);
    }
  }

  /** Whether this change may have made a document with that text. */
  mayMake(change: KnownChange, text: string): boolean {
    return this.#madeBy(change)?.has(text) ?? true;
  }

  /** Whether the base of this change may have a text that it cannot be applied to. */
  mayFail(change: KnownChange): boolean {
    if (change.kind === 'put' || !this.#amend) return false;
    const bases = this.#texts.get(change.base);
    if (!bases) return true;
    for (const base of bases) if (this.#amend(base, change.text) === undefined) return true;
    return false;
  }

  #add(change: KnownChange): void {
    const made = this.#madeBy(change);
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

  #madeBy(change: KnownChange): Set<string> | undefined {
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
