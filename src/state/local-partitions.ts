import { createHash } from 'node:crypto';
import { partitionName, type PartitionName } from '../common/ids.js';
import type { StoredReplica } from '../common/messages.js';
import { compareVersions, isNewer, NO_VERSION, type Version } from '../common/version.js';
import type { StateEffects } from './replicated-state-effect.js';
import type { StoredPartition } from './store.js';

/** The newest version of a partition at this replica, on disk or being written. */
export interface LocalPartition {
  readonly version: Version;
  readonly body: string;
  /** Whether the file's digest is right; a corrupt one is never counted or sent as data. */
  readonly isIntact: boolean;
}

const NO_PARTITION: LocalPartition = { version: NO_VERSION, body: '', isIntact: true };

/** All partitions as this replica stores them. */
export class LocalPartitions {
  readonly #names: readonly PartitionName[];
  readonly #effects: StateEffects;
  readonly #partitions = new Map<PartitionName, LocalPartition>();

  constructor(
    names: readonly PartitionName[],
    stored: readonly StoredPartition[],
    effects: StateEffects,
  ) {
    this.#names = names;
    this.#effects = effects;
    for (const partition of names) this.#partitions.set(partition, NO_PARTITION);
    for (const { partition, version, body, isIntact } of stored)
      if (this.#partitions.has(partition))
        this.#partitions.set(partition, { version, body, isIntact });
  }

  get names(): readonly PartitionName[] {
    return this.#names;
  }

  /** Undefined for an unknown partition. */
  of(partition: PartitionName): LocalPartition | undefined {
    return this.#partitions.get(partition);
  }

  /** Replaces the version in memory, without writing it to disk. */
  put(partition: PartitionName, version: Version, body: string): void {
    this.#partitions.set(partition, { version, body, isIntact: true });
  }

  /** Replaces the version and writes it to disk, unless the present one is newer. */
  store(partition: PartitionName, version: Version, body: string): void {
    const copy = this.of(partition);
    if (!copy || compareVersions(version, copy.version) < 0) return;
    this.put(partition, version, body);
    this.#effects.store(partition, version, body);
  }

  corruptPartitions(): readonly PartitionName[] {
    const corrupt: PartitionName[] = [];
    for (const [partition, copy] of this.#partitions) if (!copy.isIntact) corrupt.push(partition);
    return corrupt;
  }

  /** All partitions in the form of messages. */
  toMessages(): StoredReplica[] {
    const list: StoredReplica[] = [];
    for (const [partition, copy] of this.#partitions)
      list.push({ part: partition, ...copy.version, body: copy.body, sound: copy.isIntact });
    return list;
  }

  /** Takes over newer versions read from peers; returns the partitions that must be on disk before this replica counts. */
  adopt(copies: readonly StoredReplica[]): ReadonlySet<PartitionName> {
    const storing = new Set<PartitionName>();
    for (const item of copies) {
      const partition = partitionName(item.part);
      if (!this.#isWanted(partition, item)) continue;
      const version = { epoch: item.epoch, count: item.count };
      this.put(partition, version, item.body);
      this.#effects.store(partition, version, item.body);
      storing.add(partition);
    }
    return storing;
  }

  /** SHA-256 over the versions of the partitions from `low` up to, not including, `high`: equal where replicas are. */
  digest(low: number, high: number): string {
    const hash = createHash('sha256');
    for (const partition of this.#names.slice(low, high)) {
      const copy = this.of(partition);
      hash.update(`${partition} ${copy?.version.epoch} ${copy?.version.count} ${copy?.isIntact}\n`);
    }
    return hash.digest('hex');
  }

  #isWanted(partition: PartitionName, item: StoredReplica): boolean {
    const known = this.of(partition);
    if (!known || !item.sound) return false;
    return !known.isIntact || isNewer(item, known.version);
  }
}
