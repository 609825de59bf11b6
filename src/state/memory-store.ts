import type { PartitionName } from '../common/ids.js';
import { compareVersions, NO_VERSION, type Version } from '../common/version.js';
import type { Store, StoredPartition } from './store.js';

/** A store for the simulator: what was kept outlasts crash(), what was not is gone; wipe() loses all. */
export class MemoryStore implements Store {
  readonly #kept = new Map<PartitionName, StoredPartition>();
  readonly #before = new Map<PartitionName, StoredPartition>();
  #age = 0;

  async readAll(): Promise<readonly StoredPartition[]> {
    return this.list();
  }

  list(): readonly StoredPartition[] {
    return [...this.#kept.values()];
  }

  async write(partition: PartitionName, version: Version, body: string): Promise<void> {
    const age = this.#age;
    await Promise.resolve();
    if (age === this.#age) this.keep(partition, version, body);
  }

  /** The simulator's own way in: it decides on virtual time when a write has reached the disk. */
  keep(partition: PartitionName, version: Version, body: string): void {
    const known = this.#kept.get(partition);
    if (known && known.isSound && compareVersions(version, known.version) < 0) return;
    if (known?.isSound) this.#before.set(partition, known);
    this.#kept.set(partition, { partition, version, body, isSound: true });
  }

  /** The newest file of a part goes bad: what is left is the one before it, and the knowledge that it is not the newest. */
  rot(partition: PartitionName): void {
    if (!this.#kept.has(partition)) return;
    const before = this.#before.get(partition) ?? {
      partition,
      version: NO_VERSION,
      body: '',
      isSound: false,
    };
    this.#kept.set(partition, { ...before, isSound: false });
  }

  crash(): void {
    this.#age += 1;
  }

  wipe(): void {
    this.crash();
    this.#kept.clear();
  }
}
