import type { Moment } from '../common/ids.js';

/** A control node that announced itself lately and is heard of as no voter, or as one without a leader. */
export interface AnnouncedNode {
  readonly id: string;
  readonly zone: string;
  readonly isFirst: boolean;
  readonly isHealthy: boolean;
  readonly at: Moment;
}

/** What the leader knows of the voters and of those that could become some. */
export interface VoterView {
  readonly me: string;
  /** One set, or two while a change is under way. */
  readonly voters: readonly (readonly string[])[];
  /** How many voters are wanted, where some had to be left out. */
  readonly voterCount: number | undefined;
  readonly announced: readonly AnnouncedNode[];
  /** For how long a voter has been silent. */
  idleMs(voter: string): number;
  /** Whether a node is told to stop. */
  isLeaving(id: string): boolean;
  zoneOf(voter: string): string;
}

export interface VotersChange {
  readonly do: 'voters';
  readonly voters: readonly (readonly string[])[];
  readonly voterCount: number | undefined;
}

export type VoterChange =
  | { readonly do: 'nothing' }
  /** All parts are to be written anew, by a majority of both sets. */
  | { readonly do: 'rewrite' }
  | VotersChange;

/** A voter silent for so long is replaced where a spare is there: a seat held by nobody alive is worth less. */
const UNREACHABLE_MS = 2000;
/**
 * A voter silent for so long counts as gone for good, and the others may go on without it. Restarts, freezes and repairs
 * end sooner, and a return costs a change of voters. Waiting longer would leave the ones that are left without a majority
 * at the next loss for longer: losses that may come one after the other do so no faster than this.
 */
const DEPARTED_MS = 10_000;
const NOTHING: VoterChange = { do: 'nothing' };

/** How many more of so many alive may be lost until they are no majority of so many voters. */
function toleratedFailures(voters: number, alive: number): number {
  return alive - (Math.floor(voters / 2) + 1);
}

/**
 * Which voters there should be: all nodes of the first start; a spare in the place of whoever leaves or fell silent; and
 * without spares those alone that are alive, where they bear more losses by themselves, until others are back.
 */
export class VoterPlan {
  #rewritten = '';

  /** A new leader knows nothing of how far the former one came with a change, and does it again. */
  reset(): void {
    this.#rewritten = '';
  }

  next(view: VoterView): VoterChange {
    const [current, following] = view.voters;
    if (!current) return NOTHING;
    if (following) return this.#continueChange(view, following);
    const next =
      withReplacement(view, current) ?? withAddition(view, current) ?? withRemoval(view, current);
    if (!next) return NOTHING;
    return { do: 'voters', voters: [[...current], next.voters], voterCount: next.voterCount };
  }

  /** A change that is under way: all parts reach a majority of both sets before the old one is let go. */
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

/** Those that could vote: one that must still be repaired can hold nothing for us, and one that leaves is no gain. */
function sparesFor(view: VoterView, current: readonly string[]): readonly AnnouncedNode[] {
  return view.announced.filter(
    (node) => node.isHealthy && !current.includes(node.id) && !view.isLeaving(node.id),
  );
}

/** A spare takes the seat of a voter that leaves, or of one that fell silent; one of its zone, if there is any. */
function withReplacement(view: VoterView, current: readonly string[]): NextVoters | undefined {
  const spares = sparesFor(view, current);
  const old =
    current.find(view.isLeaving, view) ??
    current.find((voter) => voter !== view.me && view.idleMs(voter) > UNREACHABLE_MS);
  if (old === undefined) return undefined;
  const spare = spares.find((node) => node.zone === view.zoneOf(old ?? '')) ?? spares[0];
  if (!spare) return undefined;
  return {
    voters: current.map((voter) => (voter === old ? spare.id : voter)),
    voterCount: view.voterCount,
  };
}

/** Seats that stand empty are filled; one more is opened for a node of the first start, or to make the number odd. */
function withAddition(view: VoterView, current: readonly string[]): NextVoters | undefined {
  // An even number bears no more losses than the odd one below it, so that it is filled up whoever comes.
  const isWanted = current.length % 2 === 0 || current.length < (view.voterCount ?? 0);
  function votersBeside(node: AnnouncedNode): number {
    return current.filter((voter) => view.zoneOf(voter) === node.zone).length;
  }
  let spare: AnnouncedNode | undefined;
  for (const node of sparesFor(view, current).filter((node) => isWanted || node.isFirst)) {
    // The zone with the fewest voters goes first, so that the loss of a zone takes as few as possible.
    if (!spare || votersBeside(node) < votersBeside(spare)) spare = node;
  }
  return spare && { voters: [...current, spare.id], voterCount: view.voterCount };
}

/** Those alive alone, if they then bear more losses than as a part of all; the number wanted stays what it was. */
function withRemoval(view: VoterView, current: readonly string[]): NextVoters | undefined {
  const staying = current.filter((voter) => silentMs(voter) <= DEPARTED_MS);
  const gain =
    toleratedFailures(staying.length, staying.length) -
    toleratedFailures(current.length, staying.length);
  // One that is silent, though not for long, may be lost as well: then the count would be wrong.
  if (
    staying.length === current.length ||
    gain <= 0 ||
    !staying.every((voter) => silentMs(voter) <= UNREACHABLE_MS)
  )
    return undefined;
  return { voters: staying, voterCount: Math.max(view.voterCount ?? 0, current.length) };

  function silentMs(voter: string): number {
    return voter === view.me ? 0 : view.idleMs(voter);
  }
}
