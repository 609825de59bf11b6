import type { PartitionName } from '../common/ids.js';
import { compareVersions, NO_VERSION, type Version } from '../common/version.js';
import type { Store, StoredPartition } from './store.js';

/** In-memory store for simulations. `crash` drops writes in flight and retains persisted versions; `erase` drops both. */
export class MemoryStore implements Store {
  readonly #stored = new Map<PartitionName, StoredPartition>();
  readonly #previous = new Map<PartitionName, StoredPartition>();
  #incarnation = 0;

  /** See `Store`. */
  async readAll(): Promise<readonly StoredPartition[]> {
    return this.list();
  }

  /** All persisted versions, synchronously. */
  list(): readonly StoredPartition[] {
    return [...this.#stored.values()];
  }

  /** Persists the version in a microtask; after a `crash` in between the promise resolves without persisting it. */
  async write(partition: PartitionName, version: Version, body: string): Promise<void> {
    const incarnation = this.#incarnation;
    await Promise.resolve();
    if (incarnation === this.#incarnation) this.persist(partition, version, body);
  }

  /** Persists a version immediately, for a simulator that decides in virtual time when a write reaches the disk. */
  persist(partition: PartitionName, version: Version, body: string): void {
    const current = this.#stored.get(partition);
    if (current && current.isIntact && compareVersions(version, current.version) < 0) return;
    if (current?.isIntact) this.#previous.set(partition, current);
    this.#stored.set(partition, { partition, version, body, isIntact: true });
  }

  /** Corrupts the newest version of a partition: the previous one remains and is marked as not intact. */
  corrupt(partition: PartitionName): void {
    if (!this.#stored.has(partition)) return;
    const previous = this.#previous.get(partition) ?? {
      partition,
      version: NO_VERSION,
      body: '',
      isIntact: false,
    };
    this.#stored.set(partition, { ...previous, isIntact: false });
  }

  /** Drops the writes in flight. */
  crash(): void {
    this.#incarnation += 1;
  }

  /** Drops the writes in flight and all persisted versions. */
  erase(): void {
    this.crash();
    this.#stored.clear();
  }
}
