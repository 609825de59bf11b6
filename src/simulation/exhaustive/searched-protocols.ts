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
import { VoterRestartProtocol, type DiskGenerations } from './voter-restart-protocol.js';

/** The voters at the start of each search. */
export const SEEDS = ['a', 'b', 'c'];
/** A joint set of voters: a change of voters that never completes. */
export const JOINT_VOTERS = [SEEDS, ['a', 'b', 'd']];
/** Enough for a leader to fail, and for its successor to wait for the end of its lease. */
const ELECTION_CLOCK_STEPS = 4;
const REPLICATION_CLOCK_STEPS = 2;
/** From the first start of the cluster: enough for the change of voters and for a new leader during it. */
const CHANGE_CLOCK_STEPS = 12;
const REFUSAL_CLOCK_STEPS = 3;
/** A node that forwards orders to the leader. */
const FOLLOWER = [1];

/** Elections among three voters. */
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

/** Replication of writes by successive leaders, without lost disks. */
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

/** Repair of one lost disk; two sets of voters stand for a change of voters in progress. */
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

/** The bounds that all searches of a change of voters share. */
const CHANGE_BOUNDS = { restarts: 1, wipes: 0, hasLateSyncs: false, hasSecondOrder: false };
const FIRST_TWO = [0, 1];
const ALL_FOUR = [0, 1, 2, 3];
/**
 * From the first start of the cluster: the change begins at step 10; if the leader fails at its end, a successor serves by
 * step 16, and has made a second change by step 20.
 */
const FAULTY_CHANGE_CLOCK_STEPS = 20;

/** A change of voters with faults of all kinds, before and after the change as well. */
export function voterChange(mistake?: ControlMistake): VoterChangeProtocol {
  const faults = {
    ...CHANGE_BOUNDS,
    clockSteps: CHANGE_CLOCK_STEPS,
    victims: ALL_FOUR,
    kinds: FAULT_KINDS,
    isMidChange: false,
    lastingFaultsEnd: 'when no message is in transit' as const,
  };
  return new VoterChangeProtocol(faults, mistake);
}

/** A change of voters with faults of these kinds at any node, only during the change. */
export function voterChangeWithFaults(
  kinds: readonly FaultKind[],
  mistake?: ControlMistake,
): VoterChangeProtocol {
  const faults = {
    ...CHANGE_BOUNDS,
    clockSteps: FAULTY_CHANGE_CLOCK_STEPS,
    victims: ALL_FOUR,
    kinds,
    isMidChange: true,
    lastingFaultsEnd: 'when the clocks advance' as const,
  };
  return new VoterChangeProtocol(faults, mistake);
}

/** A change of voters with faults of these kinds only at its leader or at the other remaining voter. */
export function voterChangeWithVoterFaults(
  clockSteps: number,
  kinds: readonly FaultKind[],
  mistake?: ControlMistake,
): VoterChangeProtocol {
  const faults = {
    ...CHANGE_BOUNDS,
    clockSteps,
    victims: FIRST_TWO,
    kinds,
    isMidChange: true,
    lastingFaultsEnd: 'when the clocks advance' as const,
  };
  return new VoterChangeProtocol(faults, mistake);
}

/** Clock steps of 400 ms after a restart of all nodes by which a leader has served: a third of the deployments' `recover_s`. */
const RESTART_CLOCK_STEPS = 10;

/** A restart of all nodes, with these sets of voters on their disks and with faults of these kinds. */
export function voterRestart(
  generations: DiskGenerations,
  kinds: readonly FaultKind[],
  mistake?: ControlMistake,
): VoterRestartProtocol {
  const bounds = {
    clockSteps: RESTART_CLOCK_STEPS,
    servesBy: RESTART_CLOCK_STEPS,
    restarts: 1,
    wipes: 0,
    hasLateSyncs: false,
    kinds,
  };
  return new VoterRestartProtocol(generations, bounds, mistake);
}

/** The bounds that all searches of refusals share. */
const REFUSAL_BOUNDS = { restarts: 1, wipes: 0, hasLateSyncs: false, calls: 2 };
/** Competing orders with the same base, that of the first order. */
export const RIVAL_ORDERS = ['next', 'other'] as const;
/** Faults that do not last. */
export const SHORT_FAULTS = ['drop', 'skip', 'restart'] as const;
/** The competing orders, and one based on the first of them. */
const NEWER_ORDERS = ['next', 'other', 'last'] as const;

/** Two competing orders at a follower of a new cluster. */
export function refusal(mistake?: RefusalMistake): RefusalProtocol {
  const faults = {
    ...REFUSAL_BOUNDS,
    clockSteps: REFUSAL_CLOCK_STEPS,
    beginning: 'founded' as const,
    orders: ['first', 'rival'] as const,
    called: FOLLOWER,
    kinds: FAULT_KINDS,
    lastingFaultsEnd: 'when no message is in transit' as const,
  };
  return new RefusalProtocol(faults, mistake);
}

/** The bounds by which the searches of orders on a newer base differ. */
export type NewerBaseBounds = Pick<RefusalBounds, 'beginning' | 'clockSteps'> &
  Partial<Pick<RefusalBounds, 'kinds' | 'orders'>>;

/** Orders on a newer base, either with a former leader that may be thawed or with a single leader. */
export function refusalOnNewerBase(
  bounds: NewerBaseBounds,
  mistake?: RefusalMistake,
): RefusalProtocol {
  const faults = {
    ...REFUSAL_BOUNDS,
    orders: NEWER_ORDERS,
    called: FIRST_TWO,
    kinds: [],
    lastingFaultsEnd: 'when no message is in transit' as const,
    ...bounds,
  };
  return new RefusalProtocol(faults, mistake);
}
