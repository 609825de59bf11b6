import { nodeId } from '../../common/ids.js';
import { Quorum } from '../../common/quorum.js';

/** The sets of voters that a node goes by; undefined if it knows none. */
export type VoterSets = readonly (readonly string[])[] | undefined;

/**
 * Sets of voters that a majority of their own members go by could elect and commit on their own: at most one may exist.
 * `views` has the sets of each node of `nodes`, in the same order. Returns the violation, if there is one.
 */
export function checkVoterSets(
  nodes: readonly string[],
  views: readonly VoterSets[],
  where: string,
): string | undefined {
  const nodesBySets = new Map<string, string[]>();
  for (const [node, sets] of views.entries()) {
    if (!sets) continue;
    const text = JSON.stringify(sets);
    nodesBySets.set(text, [...(nodesBySets.get(text) ?? []), nodes[node] ?? '']);
  }
  const quorate: string[] = [];
  for (const [node, sets] of views.entries()) {
    if (!sets) continue;
    const text = JSON.stringify(sets);
    const by = nodesBySets.get(text) ?? [];
    if (by[0] !== nodes[node]) continue;
    const quorum = new Quorum(...sets.map(idsOf));
    if (quorum.isMajority(new Set(by.map(nodeId)))) quorate.push(`${text} by ${by.join()}`);
  }
  if (quorate.length < 2) return undefined;
  return `two sets of voters could decide independently, ${where}: ${quorate.join(' and ')}`;
}

function idsOf(set: readonly string[]): ReturnType<typeof nodeId>[] {
  return set.map(nodeId);
}
