import { createHash } from 'node:crypto';
import { partitionName, type PartitionName } from '../common/ids.js';

/** The part that holds the configuration; it stands beside the hashed ones. */
export const CONFIG_PARTITION = partitionName('config');
/** Not a part of the shared state: each voter's own record of epoch and grant. */
export const VOTE_RECORD = partitionName('vote');

const SERVICE_PARTITIONS = 8;

export function servicePartition(service: string): PartitionName {
  const hash = createHash('sha256').update(service).digest();
  return partitionName(`services-${hash.readUInt32BE(0) % SERVICE_PARTITIONS}`);
}

export function allPartitions(): readonly PartitionName[] {
  const partitions = [CONFIG_PARTITION];
  for (let index = 0; index < SERVICE_PARTITIONS; index += 1)
    partitions.push(partitionName(`services-${index}`));
  return partitions;
}
