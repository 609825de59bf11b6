import type { PartName } from '../common/ids.js';
import { compareVersions, NO_VERSION, type Version } from '../common/version.js';
import type { Store, StoredPart } from './store.js';

/** A store for the simulator: what was kept outlasts crash(), what was not is gone; wipe() loses all. */
export class MemoryStore implements Store {
  readonly #kept = new Map<PartName, StoredPart>();
  readonly #before = new Map<PartName, StoredPart>();
  #age = 0;

  async readAll(): Promise<readonly StoredPart[]> {
    return this.list();
  }

  list(): readonly StoredPart[] {
    return [...this.#kept.values()];
  }

  async write(part: PartName, version: Version, body: string): Promise<void> {
    const age = this.#age;
    await Promise.resolve();
    if (age === this.#age) this.keep(part, version, body);
  }

  /** The simulator's own way in: it decides on virtual time when a write has reached the disk. */
  keep(part: PartName, version: Version, body: string): void {
    const known = this.#kept.get(part);
    if (known && known.isSound && compareVersions(version, known.version) < 0) return;
    if (known?.isSound) this.#before.set(part, known);
    this.#kept.set(part, { part, version, body, isSound: true });
  }

  /** The newest file of a part goes bad: what is left is the one before it, and the knowledge that it is not the newest. */
  rot(part: PartName): void {
    if (!this.#kept.has(part)) return;
    const before = this.#before.get(part) ?? {
      part,
      version: NO_VERSION,
      body: '',
      isSound: false,
    };
    this.#kept.set(part, { ...before, isSound: false });
  }

  crash(): void {
    this.#age += 1;
  }

  wipe(): void {
    this.crash();
    this.#kept.clear();
  }
}
