import { createHash } from 'node:crypto';
import { partitionName, type PartitionName } from '../common/ids.js';

/** The partition that stores the configuration; services are distributed over the others by hash. */
export const CONFIG_PARTITION = partitionName('config');
/** The partition in which each voter stores its own epoch and grant; it is not replicated. */
export const VOTE_RECORD = partitionName('vote');

const SERVICE_PARTITIONS = 8;

/** The partition that stores the placement of a service, chosen by the SHA-256 of its name. */
export function servicePartition(service: string): PartitionName {
  const hash = createHash('sha256').update(service).digest();
  return partitionName(`services-${hash.readUInt32BE(0) % SERVICE_PARTITIONS}`);
}

/** The names of all replicated partitions; the configuration is the first. */
export function allPartitions(): readonly PartitionName[] {
  const partitions = [CONFIG_PARTITION];
  for (let index = 0; index < SERVICE_PARTITIONS; index += 1)
    partitions.push(partitionName(`services-${index}`));
  return partitions;
}
