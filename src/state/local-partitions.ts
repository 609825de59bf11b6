import { createHash } from 'node:crypto';
import { partitionName, type PartitionName } from '../common/ids.js';
import type { StoredReplica } from '../common/messages.js';
import { compareVersions, isNewer, NO_VERSION, type Version } from '../common/version.js';
import type { StateEffects } from './replicated-state-effect.js';
import type { StoredPartition } from './store.js';

/** The newest version of a partition at this replica, on disk or being written. */
export interface LocalPartition {
  /** The newest version. */
  readonly version: Version;
  /** The content of that version. */
  readonly body: string;
  /** False if the newest file was corrupt: the partition then counts for no majority and is not sent as valid data. */
  readonly isIntact: boolean;
}

const NO_PARTITION: LocalPartition = { version: NO_VERSION, body: '', isIntact: true };

/** The partitions of the local replica. */
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

  /** The names of all partitions, in the order that digests use. */
  get names(): readonly PartitionName[] {
    return this.#names;
  }

  /** The local state of a partition; undefined for an unknown partition. */
  get(partition: PartitionName): LocalPartition | undefined {
    return this.#partitions.get(partition);
  }

  /** Replaces the version in memory, without writing it to disk. */
  put(partition: PartitionName, version: Version, body: string): void {
    this.#partitions.set(partition, { version, body, isIntact: true });
  }

  /** Replaces the version and writes it to disk, unless the current version is newer. */
  store(partition: PartitionName, version: Version, body: string): void {
    const local = this.get(partition);
    if (!local || compareVersions(version, local.version) < 0) return;
    this.put(partition, version, body);
    this.#effects.store(partition, version, body);
  }

  /** The partitions whose newest file was corrupt and that are not repaired yet. */
  corruptPartitions(): readonly PartitionName[] {
    const corrupt: PartitionName[] = [];
    for (const [partition, local] of this.#partitions) if (!local.isIntact) corrupt.push(partition);
    return corrupt;
  }

  /** All partitions in their message form. */
  toStoredReplicas(): StoredReplica[] {
    const messages: StoredReplica[] = [];
    for (const [partition, local] of this.#partitions)
      messages.push({ part: partition, ...local.version, body: local.body, sound: local.isIntact });
    return messages;
  }

  /** Adopts newer versions read from peers; returns the partitions that must be persisted before this replica may vote. */
  adopt(copies: readonly StoredReplica[]): ReadonlySet<PartitionName> {
    const unpersisted = new Set<PartitionName>();
    for (const copy of copies) {
      const partition = partitionName(copy.part);
      if (!this.#shouldAdopt(partition, copy)) continue;
      const version = { epoch: copy.epoch, count: copy.count };
      this.put(partition, version, copy.body);
      this.#effects.store(partition, version, copy.body);
      unpersisted.add(partition);
    }
    return unpersisted;
  }

  /** SHA-256 over the versions of the partitions from index `low` up to, but not including, `high`; equal for equal replicas. */
  digest(low: number, high: number): string {
    const hash = createHash('sha256');
    for (const partition of this.#names.slice(low, high)) {
      const local = this.get(partition);
      hash.update(
        `${partition} ${local?.version.epoch} ${local?.version.count} ${local?.isIntact}\n`,
      );
    }
    return hash.digest('hex');
  }

  #shouldAdopt(partition: PartitionName, copy: StoredReplica): boolean {
    const local = this.get(partition);
    if (!local || !copy.sound) return false;
    return !local.isIntact || isNewer(copy, local.version);
  }
}
