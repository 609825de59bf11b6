import type { Moment } from '../common/ids.js';

/** A control node that announced itself recently: a spare, or a voter that has no leader. */
export interface AnnouncedNode {
  readonly id: string;
  readonly zone: string;
  /** Whether it was started with the cluster and has never been a voter. */
  readonly isFirst: boolean;
  /** Whether its replica may count; otherwise it has to be repaired first. */
  readonly isHealthy: boolean;
  /** When the announcement arrived. */
  readonly at: Moment;
}

/** What the leader knows of the voters and the spares. */
export interface VoterView {
  readonly me: string;
  /** One set, or two during a joint configuration: the old one, then the new one. */
  readonly voters: readonly (readonly string[])[];
  /** How many voters are wanted, if departed ones were removed; stored as `seats`. */
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
export interface VotersChange {
  readonly do: 'voters';
  readonly voters: readonly (readonly string[])[];
  readonly voterCount: number | undefined;
}

/** The next step of a change of voters. */
export type VoterChange =
  /** The voters stay as they are. */
  | { readonly do: 'nothing' }
  /** All partitions are to be rewritten, to a majority of both sets. */
  | { readonly do: 'rewrite' }
  | VotersChange;

/** A voter idle for this long is replaced if there is a spare: a dead voter makes majorities harder to reach. */
const UNREACHABLE_MS = 2000;
/**
 * A voter idle for this long counts as departed, and may be removed without a replacement. Restarts, freezes and repairs end
 * sooner, and a return costs another change of voters. A longer time would leave the remaining voters at risk for longer:
 * the fault model allows the next failure after this time.
 */
const DEPARTED_MS = 10_000;
const NOTHING: VoterChange = { do: 'nothing' };

/** How many of `alive` voters may fail while the rest is a majority of `voters`. */
function toleratedFailures(voters: number, alive: number): number {
  return alive - (Math.floor(voters / 2) + 1);
}

/**
 * Decides who should vote: all nodes of the first start; a spare in place of a voter that stops or is unreachable; without
 * spares the live voters alone, if they tolerate more failures by themselves, until others are back.
 */
export class VoterPlan {
  /** The joint configuration for which all partitions were rewritten by this leader. */
  #rewritten = '';

  /** A new leader cannot tell how far its predecessor came with a change, and rewrites the partitions again. */
  reset(): void {
    this.#rewritten = '';
  }

  /** The next step, by what the leader knows now. One step at a time: the caller asks again once it is committed. */
  next(view: VoterView): VoterChange {
    const [current, following] = view.voters;
    if (!current) return NOTHING;
    if (following) return this.#continueChange(view, following);
    const next =
      withReplacement(view, current) ?? withAddition(view, current) ?? withRemoval(view, current);
    if (!next) return NOTHING;
    return { do: 'voters', voters: [[...current], next.voters], voterCount: next.voterCount };
  }

  /** Continues a change: all partitions reach a majority of both sets before the new set alone decides. */
  #continueChange(view: VoterView, following: readonly string[]): VoterChange {
    const change = view.voters.join(' | ');
    if (this.#rewritten === change) {
      return { do: 'voters', voters: [following], voterCount: view.voterCount };
    }
    this.#rewritten = change;
    return { do: 'rewrite' };
  }
}

interface NextVoters {
  readonly voters: readonly string[];
  readonly voterCount: number | undefined;
}

/** The nodes that could vote: neither those that need a repair, nor those in a planned stop. */
function sparesFor(view: VoterView, current: readonly string[]): readonly AnnouncedNode[] {
  return view.announced.filter(
    (node) => node.isHealthy && !current.includes(node.id) && !view.isLeaving(node.id),
  );
}

/** Replaces a voter that stops or is unreachable by a spare, of the same zone if possible. */
function withReplacement(view: VoterView, current: readonly string[]): NextVoters | undefined {
  const spares = sparesFor(view, current);
  const old =
    current.find((voter) => view.isLeaving(voter)) ??
    current.find((voter) => voter !== view.me && view.idleMs(voter) > UNREACHABLE_MS);
  if (old === undefined) return undefined;
  const spare = spares.find((node) => node.zone === view.zoneOf(old ?? '')) ?? spares[0];
  if (!spare) return undefined;
  return {
    voters: current.map((voter) => (voter === old ? spare.id : voter)),
    voterCount: view.voterCount,
  };
}

/** Adds a spare up to the wanted number, to make the number odd, or if it is a node of the first start. */
function withAddition(view: VoterView, current: readonly string[]): NextVoters | undefined {
  // An even number tolerates no more failures than the odd one below it, so any spare makes it odd.
  const isWanted = current.length % 2 === 0 || current.length < (view.voterCount ?? 0);
  const votersInZoneOf = (node: AnnouncedNode): number =>
    current.filter((voter) => view.zoneOf(voter) === node.zone).length;
  let spare: AnnouncedNode | undefined;
  for (const node of sparesFor(view, current).filter((node) => isWanted || node.isFirst)) {
    // The zone with the fewest voters goes first, so that a zone failure affects as few voters as possible.
    if (!spare || votersInZoneOf(node) < votersInZoneOf(spare)) spare = node;
  }
  return spare && { voters: [...current, spare.id], voterCount: view.voterCount };
}

/** Removes departed voters, if the others then tolerate more failures; the wanted number of voters stays. */
function withRemoval(view: VoterView, current: readonly string[]): NextVoters | undefined {
  const idleMs = (voter: string): number => (voter === view.me ? 0 : view.idleMs(voter));
  const staying = current.filter((voter) => idleMs(voter) <= DEPARTED_MS);
  const gain =
    toleratedFailures(staying.length, staying.length) -
    toleratedFailures(current.length, staying.length);
  // A voter that is idle, though not for long, may have failed as well: then the gain would be wrong.
  if (
    staying.length === current.length ||
    gain <= 0 ||
    !staying.every((voter) => idleMs(voter) <= UNREACHABLE_MS)
  )
    return undefined;
  return { voters: staying, voterCount: Math.max(view.voterCount ?? 0, current.length) };
}
