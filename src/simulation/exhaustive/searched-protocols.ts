import type { ControlMistake } from './control-node.js';
import {
  ElectionProtocol,
  type ElectionBeginning,
  type ElectionMistake,
} from './election-protocol.js';
import { FAULT_KINDS, type FaultKind } from './protocol.js';
import { RefusalProtocol, type RefusalBounds, type RefusalMistake } from './refusal-protocol.js';
import {
  ReplicationProtocol,
  type ReplicationBeginning,
  type ReplicationMistake,
} from './replication-protocol.js';
import { VoterChangeProtocol } from './voter-change-protocol.js';

export const SEEDS = ['a', 'b', 'c'];
/** A change of voters that is under way for good. */
export const JOINT = [SEEDS, ['a', 'b', 'd']];
/** Enough for a leader to fall silent, and for its successor to wait for the end of its lease. */
const ELECTION_CLOCK_STEPS = 4;
const REPLICATION_CLOCK_STEPS = 2;
/** From the start of the founding: enough for the change of voters and for another leader in its midst. */
const CHANGE_CLOCK_STEPS = 12;
const REFUSAL_CLOCK_STEPS = 3;
/** It passes orders on to the leader. */
const FOLLOWER = [1];

export function election(
  beginning: ElectionBeginning,
  hasLateSyncs: boolean,
  mistake?: ElectionMistake,
): ElectionProtocol {
  const faults = {
    clockSteps: ELECTION_CLOCK_STEPS,
    restarts: 2,
    wipes: 0,
    hasLateSyncs,
  };
  return new ElectionProtocol(beginning, faults, mistake);
}

export function replication(
  beginning: ReplicationBeginning,
  hasLateSyncs: boolean,
  mistake?: ReplicationMistake,
): ReplicationProtocol {
  const faults = {
    clockSteps: REPLICATION_CLOCK_STEPS,
    restarts: 1,
    wipes: 0,
    hasLateSyncs,
    elections: 2,
    changes: 1,
  };
  return new ReplicationProtocol('replication', beginning, [SEEDS], faults, mistake);
}

export function repair(
  beginning: ReplicationBeginning,
  sets: readonly (readonly string[])[],
  mistake?: ReplicationMistake,
): ReplicationProtocol {
  const faults = {
    clockSteps: REPLICATION_CLOCK_STEPS,
    restarts: 0,
    wipes: 1,
    hasLateSyncs: false,
    elections: 1,
    changes: 1,
  };
  const name = sets.length === 1 ? 'repair' : 'repair during a change of voters';
  return new ReplicationProtocol(name, beginning, sets, faults, mistake);
}

/** The bounds of a change of voters that are the same in all its searches. */
const CHANGE_FAULTS = { restarts: 1, wipes: 0, hasLateSyncs: false, hasSecondOrder: false };
const FIRST_TWO = [0, 1];
const ALL_FOUR = [0, 1, 2, 3];
/**
 * From the start of the founding: the change begins at step 10; a leader in trouble at its end has a successor that serves
 * by step 16, which has made a second change by step 20.
 */
const TROUBLED_CLOCK_STEPS = 20;
export function voterChange(mistake?: ControlMistake): VoterChangeProtocol {
  const faults = {
    ...CHANGE_FAULTS,
    clockSteps: CHANGE_CLOCK_STEPS,
    victims: ALL_FOUR,
    kinds: FAULT_KINDS,
    isMidChange: false,
    troublesEnd: 'at any pause' as const,
  };
  return new VoterChangeProtocol(faults, mistake);
}

/** Faults of these kinds at any moment of the change, of any node. */
export function troubledChange(
  kinds: readonly FaultKind[],
  mistake?: ControlMistake,
): VoterChangeProtocol {
  const faults = {
    ...CHANGE_FAULTS,
    clockSteps: TROUBLED_CLOCK_STEPS,
    victims: ALL_FOUR,
    kinds,
    isMidChange: true,
    troublesEnd: 'with the clocks' as const,
  };
  return new VoterChangeProtocol(faults, mistake);
}

/** The leader of the change or the voter that is left beside it is in trouble. */
export function troubledVoters(
  clockSteps: number,
  kinds: readonly FaultKind[],
  mistake?: ControlMistake,
): VoterChangeProtocol {
  const faults = {
    ...CHANGE_FAULTS,
    clockSteps,
    victims: FIRST_TWO,
    kinds,
    isMidChange: true,
    troublesEnd: 'with the clocks' as const,
  };
  return new VoterChangeProtocol(faults, mistake);
}

/** The bounds of refusal that are the same in all its searches. */
const REFUSAL_FAULTS = { restarts: 1, wipes: 0, hasLateSyncs: false, calls: 2 };
/** Orders made from what the first one brings, and one made from what one of these brings. */
export const RIVAL_ORDERS = ['next', 'other'] as const;
/** Faults that are over as soon as they have happened. */
export const SHORT_FAULTS = ['drop', 'skip', 'restart'] as const;
const NEWER_ORDERS = ['next', 'other', 'last'] as const;

export function refusal(mistake?: RefusalMistake): RefusalProtocol {
  const faults = {
    ...REFUSAL_FAULTS,
    clockSteps: REFUSAL_CLOCK_STEPS,
    beginning: 'founded' as const,
    orders: ['first', 'rival'] as const,
    called: FOLLOWER,
    kinds: FAULT_KINDS,
    troublesEnd: 'at any pause' as const,
  };
  return new RefusalProtocol(faults, mistake);
}

/** What the searches of newer orders differ by. */
export type NewerOrders = Pick<RefusalBounds, 'beginning' | 'clockSteps'> &
  Partial<Pick<RefusalBounds, 'kinds' | 'orders'>>;

/** Orders on a newer base, while a leader that was frozen before may be thawed, or where there is one leader alone. */
export function newerRefusal(bounds: NewerOrders, mistake?: RefusalMistake): RefusalProtocol {
  const faults = {
    ...REFUSAL_FAULTS,
    orders: NEWER_ORDERS,
    called: FIRST_TWO,
    kinds: [],
    troublesEnd: 'at any pause' as const,
    ...bounds,
  };
  return new RefusalProtocol(faults, mistake);
}
