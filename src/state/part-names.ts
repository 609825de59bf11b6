import { createHash } from 'node:crypto';
import { partName, type PartName } from '../common/ids.js';

/** The part that holds the configuration; it stands beside the hashed ones. */
export const CONFIG_PART = partName('config');
/** Not a part of the shared state: each voter's own record of epoch and grant. */
export const VOTE_PART = partName('vote');

const SERVICE_PARTS = 8;

export function servicePart(service: string): PartName {
  const hash = createHash('sha256').update(service).digest();
  return partName(`services-${hash.readUInt32BE(0) % SERVICE_PARTS}`);
}

export function allParts(): readonly PartName[] {
  const parts = [CONFIG_PART];
  for (let index = 0; index < SERVICE_PARTS; index += 1) parts.push(partName(`services-${index}`));
  return parts;
}
