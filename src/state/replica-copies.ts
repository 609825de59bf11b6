import { createHash } from 'node:crypto';
import { partName, type PartName } from '../common/ids.js';
import type { CopyMessage } from '../common/messages.js';
import { compareVersions, isNewer, NO_VERSION, type Version } from '../common/version.js';
import type { StateEffects } from './replicated-state-effect.js';
import type { StoredPart } from './store.js';

/** One part as it is held here, on disk or on its way there. */
export interface Copy {
  readonly version: Version;
  readonly body: string;
  /** Whether the file is what was written; a copy that is not counts for nothing. */
  readonly isSound: boolean;
}

const NO_COPY: Copy = { version: NO_VERSION, body: '', isSound: true };

/** This voter's copies of all parts. */
export class ReplicaCopies {
  readonly #names: readonly PartName[];
  readonly #effects: StateEffects;
  readonly #copies = new Map<PartName, Copy>();

  constructor(names: readonly PartName[], stored: readonly StoredPart[], effects: StateEffects) {
    this.#names = names;
    this.#effects = effects;
    for (const part of names) this.#copies.set(part, NO_COPY);
    for (const { part, version, body, isSound } of stored)
      if (this.#copies.has(part)) this.#copies.set(part, { version, body, isSound });
  }

  get names(): readonly PartName[] {
    return this.#names;
  }

  /** Nothing for a part that is not one of ours. */
  of(part: PartName): Copy | undefined {
    return this.#copies.get(part);
  }

  /** Holds a version from here on, without storing it. */
  put(part: PartName, version: Version, body: string): void {
    this.#copies.set(part, { version, body, isSound: true });
  }

  /** Holds and stores a version, unless what is held is newer. */
  store(part: PartName, version: Version, body: string): void {
    const copy = this.of(part);
    if (!copy || compareVersions(version, copy.version) < 0) return;
    this.put(part, version, body);
    this.#effects.store(part, version, body);
  }

  unsoundParts(): readonly PartName[] {
    const unsound: PartName[] = [];
    for (const [part, copy] of this.#copies) if (!copy.isSound) unsound.push(part);
    return unsound;
  }

  /** All of them, as they are told to others. */
  list(): CopyMessage[] {
    const list: CopyMessage[] = [];
    for (const [part, copy] of this.#copies)
      list.push({ part, ...copy.version, body: copy.body, sound: copy.isSound });
    return list;
  }

  /** Takes copies read while being repaired, and returns the parts that must reach the disk before the voter counts again. */
  adopt(copies: readonly CopyMessage[]): ReadonlySet<PartName> {
    const storing = new Set<PartName>();
    for (const item of copies) {
      const part = partName(item.part);
      if (!this.#isWanted(part, item)) continue;
      const version = { epoch: item.epoch, count: item.count };
      this.put(part, version, item.body);
      this.#effects.store(part, version, item.body);
      storing.add(part);
    }
    return storing;
  }

  /** Tells whether the same versions are held over a range of parts, `high` not included. */
  digest(low: number, high: number): string {
    const hash = createHash('sha256');
    for (const part of this.#names.slice(low, high)) {
      const copy = this.of(part);
      hash.update(`${part} ${copy?.version.epoch} ${copy?.version.count} ${copy?.isSound}\n`);
    }
    return hash.digest('hex');
  }

  #isWanted(part: PartName, item: CopyMessage): boolean {
    const known = this.of(part);
    if (!known || !item.sound) return false;
    return !known.isSound || isNewer(item, known.version);
  }
}
