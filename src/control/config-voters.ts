import { array, string, type } from 'superstruct';
import { nodeId, type NodeId } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import { Quorum } from '../common/quorum.js';

const VotersShape = type({ voters: array(array(string())) });

/**
 * Parses the voters from the text of a configuration, stored or published: one set, or two during a joint configuration.
 * `undefined` if the text is empty or has no voters.
 */
export function quorumOf(configBody: string): Quorum | undefined {
  if (configBody === '') return undefined;
  const voters = parseAs(VotersShape, configBody)?.voters;
  if (!voters || voters.length === 0) return undefined;
  return new Quorum(...voters.map(idsOf));
}

function idsOf(set: readonly string[]): NodeId[] {
  return set.map(nodeId);
}
