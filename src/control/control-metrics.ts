/**
 * The metrics of a control node as plain numbers: counters of what it decided, and a read-only snapshot of its
 * state. Nothing here knows a metrics library, a clock or the network, so the core that owns it stays pure.
 */

import type { ErrorCode } from '../common/errors.js';
import { versionsBetween, type Version } from '../common/version.js';

/** Why an order of an operator was refused: it was not carried out and never will be. */
export const REFUSAL_REASONS = ['base-changed', 'invalid', 'too-old', 'other'] as const;
/** One of the reasons. */
export type RefusalReason = (typeof REFUSAL_REASONS)[number];

const REASON_OF: ReadonlyMap<ErrorCode, RefusalReason> = new Map([
  ['base-lost', 'base-changed'],
  ['bad-config', 'invalid'],
  ['bad-table', 'invalid'],
  ['malformed', 'invalid'],
]);

/** The reason to count a refusal under, by the code of its error. */
export function refusalReason(code: ErrorCode): RefusalReason {
  return REASON_OF.get(code) ?? 'other';
}

/** Why an order got no clear answer: it may be carried out, or may have been. */
export const UNCLEAR_REASONS = ['no-majority', 'leader-lost', 'timeout', 'forgotten'] as const;
/** One of the reasons. */
export type UnclearReason = (typeof UNCLEAR_REASONS)[number];

/** Whether a replica may count: `blank` began empty, `lost` has a record that cannot be trusted. */
export const REPLICA_STATES = ['sound', 'blank', 'lost', 'repairing'] as const;
/** One of the states. */
export type ReplicaState = (typeof REPLICA_STATES)[number];

/** Orders of operators since the start of this process, each counted by the node that decided on it. */
export interface OrderCounts {
  readonly accepted: number;
  /** Of the accepted ones: an order that was repeated after it had been committed. */
  readonly acknowledgedAgain: number;
  readonly refused: Readonly<Record<RefusalReason, number>>;
  readonly unclear: Readonly<Record<UnclearReason, number>>;
  /** Rejected without effect: no leader was known. */
  readonly unserved: number;
  /** Forwarded by this node to the leader, which counts them by outcome. */
  readonly forwarded: number;
}

/** Events of a control node since the start of its process. */
export interface EventCounts {
  readonly electionsStarted: number;
  readonly votesGranted: number;
  readonly leaderChanges: number;
  /** Voter sets that came into force here; a replacement of one voter counts two, by way of a joint set. */
  readonly voterChanges: number;
  /** Repairs of this node's own replica that were completed. */
  readonly repairs: number;
  /** Partitions at other voters that this node found different and sent anew. */
  readonly copiesMended: number;
  /** Times that this node read the list of runners because no leader did. */
  readonly leaderlessReadings: number;
}

/** Who votes, as far as this node knows. */
export interface VoterNumbers {
  /** All voters; of both sets while a joint change is under way. */
  readonly members: number;
  /** Voters, this node included, that have recently answered it. */
  readonly reachable: number;
  readonly isVoter: boolean;
  /** Whether a joint change is under way: a majority is then one of the old set and of the new. */
  readonly isJoint: boolean;
}

/** The agents that have a session with this node. */
export interface SessionNumbers {
  readonly open: number;
  /** Of those, the ones with an older configuration than the newest one known to be committed. */
  readonly behind: number;
  /** How many versions the last of them is behind. */
  readonly versionsBehind: number;
}

/** One look at a control node. Durations are in milliseconds. */
export interface ControlMetrics {
  readonly epoch: number;
  readonly isLeaderKnown: boolean;
  readonly isLeading: boolean;
  /** Whether this node leads and has read the complete state, so that it may decide on orders. */
  readonly isServing: boolean;
  /** Whether it may send orders to runners at this moment. */
  readonly mayOrder: boolean;
  readonly leaseLeftMs: number;
  /** Time since a majority of the voters, this node included, was last in contact; undefined if it never was. */
  readonly majorityContactAgeMs: number | undefined;
  readonly voters: VoterNumbers;
  readonly replica: ReplicaState;
  /** Partitions of the state whose stored data here is corrupt. */
  readonly corruptPartitions: number;
  /** The configuration in this node's own replica, committed or not. */
  readonly configHeld: Version;
  /** The newest configuration that this node knows to be committed. */
  readonly configCommitted: Version;
  readonly orders: OrderCounts;
  readonly events: EventCounts;
  readonly sessions: SessionNumbers;
}

type Counts<Key extends string> = Record<Key, number>;

/** Counts what a control node decides. Counters only ever grow. */
export class ControlCounters {
  #accepted = 0;
  #acknowledgedAgain = 0;
  #unserved = 0;
  #forwarded = 0;
  #leaderChanges = 0;
  #voterChanges = 0;
  #repairs = 0;
  readonly #refused: Counts<RefusalReason> = {
    'base-changed': 0,
    invalid: 0,
    'too-old': 0,
    other: 0,
  };
  readonly #unclear: Counts<UnclearReason> = {
    'no-majority': 0,
    'leader-lost': 0,
    timeout: 0,
    forgotten: 0,
  };

  /** An order was committed and acknowledged. */
  countAccepted(): void {
    this.#accepted += 1;
  }

  /** An order that had been committed was repeated and acknowledged again. */
  countAcknowledgedAgain(): void {
    this.#accepted += 1;
    this.#acknowledgedAgain += 1;
  }

  /** An order was refused for good; `too-old` is an evacuation past its age. */
  countRefused(reason: RefusalReason): void {
    this.#refused[reason] += 1;
  }

  /** An order was left without a clear answer. */
  countUnclear(reason: UnclearReason): void {
    this.#unclear[reason] += 1;
  }

  /** A call was rejected without effect since no leader was known. */
  countUnserved(): void {
    this.#unserved += 1;
  }

  /** An order was forwarded to the leader. */
  countForwarded(): void {
    this.#forwarded += 1;
  }

  /** Another node leads now, as this node sees it, or none does. */
  countLeaderChange(): void {
    this.#leaderChanges += 1;
  }

  /** Another voter set is in force here. */
  countVoterChange(): void {
    this.#voterChanges += 1;
  }

  /** A repair of this node's replica was completed: all that the peers have is on its disk. */
  countRepair(): void {
    this.#repairs += 1;
  }

  /** Orders of operators, by outcome. */
  get orders(): OrderCounts {
    return {
      accepted: this.#accepted,
      acknowledgedAgain: this.#acknowledgedAgain,
      refused: { ...this.#refused },
      unclear: { ...this.#unclear },
      unserved: this.#unserved,
      forwarded: this.#forwarded,
    };
  }

  /** Events, with those that the election and the replica count by themselves. */
  eventsWith(own: {
    readonly electionsStarted: number;
    readonly votesGranted: number;
    readonly copiesMended: number;
    readonly leaderlessReadings: number;
  }): EventCounts {
    return {
      ...own,
      leaderChanges: this.#leaderChanges,
      voterChanges: this.#voterChanges,
      repairs: this.#repairs,
    };
  }
}

/** How far the agents with a session are behind the configuration that is known to be committed. */
export function sessionNumbers(acked: readonly Version[], committed: Version): SessionNumbers {
  let behind = 0;
  let versionsBehind = 0;
  for (const version of acked) {
    const lag = versionsBetween(version, committed);
    if (lag === 0) continue;
    behind += 1;
    versionsBehind = Math.max(versionsBehind, lag);
  }
  return { open: acked.length, behind, versionsBehind };
}
