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
  const voters = voterSetsOf(configBody);
  return voters && new Quorum(...voters.map(idsOf));
}

/** The text of a configuration that consists of the voters of this one; `undefined` if the text is empty or has no voters. */
export function votersOnly(configBody: string): string | undefined {
  const voters = voterSetsOf(configBody);
  return voters && JSON.stringify({ voters });
}

function voterSetsOf(configBody: string): readonly (readonly string[])[] | undefined {
  if (configBody === '') return undefined;
  const voters = parseAs(VotersShape, configBody)?.voters;
  return voters?.length === 0 ? undefined : voters;
}

function idsOf(set: readonly string[]): NodeId[] {
  return set.map(nodeId);
}
