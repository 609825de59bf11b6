import type { PartitionName } from '../common/ids.js';
import type { Version } from '../common/version.js';

/** One part as a store holds it. An unsound copy lost its newest version and must be mended from a peer. */
export interface StoredPartition {
  readonly partition: PartitionName;
  readonly version: Version;
  readonly body: string;
  readonly isIntact: boolean;
}

/** The disk, as the cores see it: whole versions, written one file each. */
export interface Store {
  /** All parts found, the newest version of each. */
  readAll(): Promise<readonly StoredPartition[]>;
  /** Resolves once the version would outlast a crash. A write that is overtaken by a newer one may resolve with it. */
  write(partition: PartitionName, version: Version, body: string): Promise<void>;
}
