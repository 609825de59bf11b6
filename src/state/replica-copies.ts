import { createHash } from 'node:crypto';
import { partitionName, type PartitionName } from '../common/ids.js';
import type { StoredReplica } from '../common/messages.js';
import { compareVersions, isNewer, NO_VERSION, type Version } from '../common/version.js';
import type { StateEffects } from './replicated-state-effect.js';
import type { StoredPartition } from './store.js';

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
  readonly #names: readonly PartitionName[];
  readonly #effects: StateEffects;
  readonly #copies = new Map<PartitionName, Copy>();

  constructor(
    names: readonly PartitionName[],
    stored: readonly StoredPartition[],
    effects: StateEffects,
  ) {
    this.#names = names;
    this.#effects = effects;
    for (const partition of names) this.#copies.set(partition, NO_COPY);
    for (const { partition, version, body, isSound } of stored)
      if (this.#copies.has(partition)) this.#copies.set(partition, { version, body, isSound });
  }

  get names(): readonly PartitionName[] {
    return this.#names;
  }

  /** Nothing for a part that is not one of ours. */
  of(partition: PartitionName): Copy | undefined {
    return this.#copies.get(partition);
  }

  /** Holds a version from here on, without storing it. */
  put(partition: PartitionName, version: Version, body: string): void {
    this.#copies.set(partition, { version, body, isSound: true });
  }

  /** Holds and stores a version, unless what is held is newer. */
  store(partition: PartitionName, version: Version, body: string): void {
    const copy = this.of(partition);
    if (!copy || compareVersions(version, copy.version) < 0) return;
    this.put(partition, version, body);
    this.#effects.store(partition, version, body);
  }

  corruptPartitions(): readonly PartitionName[] {
    const unsound: PartitionName[] = [];
    for (const [partition, copy] of this.#copies) if (!copy.isSound) unsound.push(partition);
    return unsound;
  }

  /** All of them, as they are told to others. */
  list(): StoredReplica[] {
    const list: StoredReplica[] = [];
    for (const [partition, copy] of this.#copies)
      list.push({ part: partition, ...copy.version, body: copy.body, sound: copy.isSound });
    return list;
  }

  /** Takes copies read while being repaired, and returns the parts that must reach the disk before the voter counts again. */
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

  /** Tells whether the same versions are held over a range of parts, `high` not included. */
  digest(low: number, high: number): string {
    const hash = createHash('sha256');
    for (const partition of this.#names.slice(low, high)) {
      const copy = this.of(partition);
      hash.update(`${partition} ${copy?.version.epoch} ${copy?.version.count} ${copy?.isSound}\n`);
    }
    return hash.digest('hex');
  }

  #isWanted(partition: PartitionName, item: StoredReplica): boolean {
    const known = this.of(partition);
    if (!known || !item.sound) return false;
    return !known.isSound || isNewer(item, known.version);
  }
}
