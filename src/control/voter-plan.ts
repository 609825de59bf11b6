import type { Moment } from '../common/ids.js';

/** A control node that announced itself recently: a spare, or a voter that has no leader. */
export interface AnnouncedNode {
  readonly id: string;
  readonly zone: string;
  /** Whether it was started with the cluster and has never been a voter. */
  readonly isFirst: boolean;
  /** Whether its replica may count in majorities; otherwise it has to be repaired first. */
  readonly isHealthy: boolean;
  /** When the announcement arrived. */
  readonly at: Moment;
}

/** What the leader knows about the voters and the spares. */
export interface VoterView {
  readonly me: string;
  /** One set, or two during a joint configuration: the old one, then the new one. */
  readonly voters: readonly (readonly string[])[];
  /** The wanted number of voters, if departed ones were removed; stored as `seats`. */
  readonly voterCount: number | undefined;
  readonly announced: readonly AnnouncedNode[];
  /** Milliseconds since the voter was last heard. */
  idleMs(voter: string): number;
  /** Whether a node is in a planned stop. */
  isLeaving(id: string): boolean;
  /** The zone of a voter; '' if unknown. */
  zoneOf(voter: string): string;
}

/** The next set of voters, or two sets that form a joint configuration, is to be written. */
export interface VoterSetChange {
  readonly do: 'voters';
  readonly voters: readonly (readonly string[])[];
  readonly voterCount: number | undefined;
}

/** The next step of a change of voters. */
export type VoterPlanStep =
  /** The voters stay as they are. */
  | { readonly do: 'nothing' }
  /** All partitions are to be rewritten at a majority of both sets. */
  | { readonly do: 'rewrite' }
  | VoterSetChange;

/** A voter idle for this long is replaced if there is a spare: a dead voter makes majorities harder to reach. */
const UNREACHABLE_MS = 2000;
/**
 * A voter idle for this long counts as departed, and may be removed without a replacement. Restarts, freezes and repairs end
 * sooner, and a voter that returns costs another change of voters. A longer time would leave the remaining voters at risk for
 * longer: the fault model allows the next failure after this time.
 */
const DEPARTED_MS = 10_000;
const NOTHING: VoterPlanStep = { do: 'nothing' };

/** How many of the `liveCount` live voters may fail while the rest is still a majority of `voterCount` voters. */
function toleratedFailures(voterCount: number, liveCount: number): number {
  return liveCount - (Math.floor(voterCount / 2) + 1);
}

/**
 * Plans the set of voters. All nodes of the first start vote. A spare replaces a voter that stops or is unreachable. Without
 * spares the live voters alone vote, if they tolerate more failures by themselves, until other nodes return.
 */
export class VoterPlan {
  /** The joint configuration for which all partitions were rewritten by this leader. */
  #rewrittenChange = '';

  /** Starts over: a new leader does not know how far its predecessor got with a change, and rewrites the partitions again. */
  reset(): void {
    this.#rewrittenChange = '';
  }

  /** The next step, from what the leader knows now. The caller calls again once the step is committed. */
  next(view: VoterView): VoterPlanStep {
    const [current, following] = view.voters;
    if (!current) return NOTHING;
    if (following) return this.#continueChange(view, following);
    const next =
      withReplacement(view, current) ?? withAddition(view, current) ?? withRemoval(view, current);
    if (!next) return NOTHING;
    return { do: 'voters', voters: [[...current], next.voters], voterCount: next.voterCount };
  }

  /** Continues a change: all partitions are stored at a majority of both sets before the new set alone decides. */
  #continueChange(view: VoterView, following: readonly string[]): VoterPlanStep {
    const change = view.voters.join(' | ');
    if (this.#rewrittenChange === change) {
      return { do: 'voters', voters: [following], voterCount: view.voterCount };
    }
    this.#rewrittenChange = change;
    return { do: 'rewrite' };
  }
}

interface NextVoters {
  readonly voters: readonly string[];
  readonly voterCount: number | undefined;
}

/** The announced nodes that could become voters: neither those that need a repair, nor those in a planned stop. */
function sparesFor(view: VoterView, current: readonly string[]): readonly AnnouncedNode[] {
  return view.announced.filter(
    (node) => node.isHealthy && !current.includes(node.id) && !view.isLeaving(node.id),
  );
}

/** Replaces a voter that stops or is unreachable by a spare, one of the same zone if possible. */
function withReplacement(view: VoterView, current: readonly string[]): NextVoters | undefined {
  const spares = sparesFor(view, current);
  const replaced =
    current.find((voter) => view.isLeaving(voter)) ??
    current.find((voter) => voter !== view.me && view.idleMs(voter) > UNREACHABLE_MS);
  if (replaced === undefined) return undefined;
  const spare = spares.find((node) => node.zone === view.zoneOf(replaced ?? '')) ?? spares[0];
  if (!spare) return undefined;
  return {
    voters: current.map((voter) => (voter === replaced ? spare.id : voter)),
    voterCount: view.voterCount,
  };
}

/** Adds a spare: up to the wanted number, to make the number odd, or because it is a node of the first start. */
function withAddition(view: VoterView, current: readonly string[]): NextVoters | undefined {
  // An even number of voters tolerates no more failures than the odd number below it, so any spare is added to make it odd.
  const isWanted = current.length % 2 === 0 || current.length < (view.voterCount ?? 0);
  const votersInZoneOf = (node: AnnouncedNode): number =>
    current.filter((voter) => view.zoneOf(voter) === node.zone).length;
  let spare: AnnouncedNode | undefined;
  for (const node of sparesFor(view, current).filter((node) => isWanted || node.isFirst)) {
    // A spare of the zone with the fewest voters is preferred, so that a zone failure affects as few voters as possible.
    if (!spare || votersInZoneOf(node) < votersInZoneOf(spare)) spare = node;
  }
  return spare && { voters: [...current, spare.id], voterCount: view.voterCount };
}

/** Removes departed voters if the others then tolerate more failures; the wanted number of voters does not decrease. */
function withRemoval(view: VoterView, current: readonly string[]): NextVoters | undefined {
  const idleMs = (voter: string): number => (voter === view.me ? 0 : view.idleMs(voter));
  const remaining = current.filter((voter) => idleMs(voter) <= DEPARTED_MS);
  const toleranceGain =
    toleratedFailures(remaining.length, remaining.length) -
    toleratedFailures(current.length, remaining.length);
  // A voter that has been idle for a shorter time may have failed as well; the gain would then be wrong.
  if (
    remaining.length === current.length ||
    toleranceGain <= 0 ||
    !remaining.every((voter) => idleMs(voter) <= UNREACHABLE_MS)
  )
    return undefined;
  return { voters: remaining, voterCount: Math.max(view.voterCount ?? 0, current.length) };
}
