import type { PartitionName } from '../common/ids.js';
import type { Version } from '../common/version.js';

/** The newest readable version of a partition on disk. */
export interface StoredPartition {
  /** Name of the partition. */
  readonly partition: PartitionName;
  /** The newest version that is readable. */
  readonly version: Version;
  /** The content of that version. */
  readonly body: string;
  /** False if a newer version was unreadable: the partition must then be repaired from a peer. */
  readonly isIntact: boolean;
}

/** Durable storage of partitions. Each version is written atomically. */
export interface Store {
  /** Reads the newest readable version of every stored partition. */
  readAll(): Promise<readonly StoredPartition[]>;
  /**
   * Resolves once the version is durable, or a newer version that replaced it before it was written. Rejects if the disk
   * fails.
   */
  write(partition: PartitionName, version: Version, body: string): Promise<void>;
}
