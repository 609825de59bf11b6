import type { PartitionName } from '../common/ids.js';
import { compareVersions, NO_VERSION, type Version } from '../common/version.js';
import type { Store, StoredPartition } from './store.js';

/** A store for the simulator: what was kept outlasts crash(), what was not is gone; wipe() loses all. */
export class MemoryStore implements Store {
  readonly #stored = new Map<PartitionName, StoredPartition>();
  readonly #previous = new Map<PartitionName, StoredPartition>();
  #incarnation = 0;

  async readAll(): Promise<readonly StoredPartition[]> {
    return this.list();
  }

  list(): readonly StoredPartition[] {
    return [...this.#stored.values()];
  }

  async write(partition: PartitionName, version: Version, body: string): Promise<void> {
    const incarnation = this.#incarnation;
    await Promise.resolve();
    if (incarnation === this.#incarnation) this.persist(partition, version, body);
  }

  /** The simulator's own way in: it decides on virtual time when a write has reached the disk. */
  persist(partition: PartitionName, version: Version, body: string): void {
    const known = this.#stored.get(partition);
    if (known && known.isIntact && compareVersions(version, known.version) < 0) return;
    if (known?.isIntact) this.#previous.set(partition, known);
    this.#stored.set(partition, { partition, version, body, isIntact: true });
  }

  /** The newest file of a part goes bad: what is left is the one before it, and the knowledge that it is not the newest. */
  corrupt(partition: PartitionName): void {
    if (!this.#stored.has(partition)) return;
    const before = this.#previous.get(partition) ?? {
      partition,
      version: NO_VERSION,
      body: '',
      isIntact: false,
    };
    this.#stored.set(partition, { ...before, isIntact: false });
  }

  crash(): void {
    this.#incarnation += 1;
  }

  erase(): void {
    this.crash();
    this.#stored.clear();
  }
}
