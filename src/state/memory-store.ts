import type { PartitionName } from '../common/ids.js';
import { compareVersions, NO_VERSION, type Version } from '../common/version.js';
import type { Store, StoredPartition } from './store.js';

/** A store for the simulator. What was persisted survives `crash`, a write in flight is lost; `erase` loses everything. */
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

  /** Persists at once; for a simulator that decides in virtual time when a write reaches the disk. */
  persist(partition: PartitionName, version: Version, body: string): void {
    const known = this.#stored.get(partition);
    if (known && known.isIntact && compareVersions(version, known.version) < 0) return;
    if (known?.isIntact) this.#previous.set(partition, known);
    this.#stored.set(partition, { partition, version, body, isIntact: true });
  }

  /** Corrupts the newest file of a partition: the version before it is left, and is known not to be the newest. */
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
