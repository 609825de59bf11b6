import type { PartitionName } from '../common/ids.js';
import type { Version } from '../common/version.js';

/** The newest readable version of a partition. One that is not intact lost its newest version: a peer must repair it. */
export interface StoredPartition {
  readonly partition: PartitionName;
  readonly version: Version;
  readonly body: string;
  readonly isIntact: boolean;
}

/** Durable storage of partitions, each version written completely or not at all. */
export interface Store {
  /** The newest readable version of every partition found. */
  readAll(): Promise<readonly StoredPartition[]>;
  /** Resolves once the version is durable; one replaced by a newer write may resolve with that. Rejects if the disk fails. */
  write(partition: PartitionName, version: Version, body: string): Promise<void>;
}
