/**
 * What a control node tells about itself as plain numbers: counters of what it decided, and a read-only snapshot of its
 * state. Nothing here knows a metrics library, a clock or the network, so the core that owns it stays pure.
 */

import type { ErrorCode } from '../common/errors.js';
import { versionsBetween, type Version } from '../common/version.js';

/** Why an order of an operator was refused: it was not carried out and never will be. */
export const REFUSAL_REASONS = ['base-changed', 'invalid', 'too-old', 'other'] as const;
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
export type UnclearReason = (typeof UNCLEAR_REASONS)[number];

/** Whether a replica may count: `blank` began empty, `lost` has a record that cannot be trusted. */
export const REPLICA_STATES = ['sound', 'blank', 'lost', 'repairing'] as const;
export type ReplicaState = (typeof REPLICA_STATES)[number];

/** Orders of operators since the start of this process, each counted by the node that decided on it. */
export interface OrderCounts {
  readonly accepted: number;
  /** Of the accepted ones: an order sent again after it had been taken. */
  readonly acknowledgedAgain: number;
  readonly refused: Readonly<Record<RefusalReason, number>>;
  readonly unclear: Readonly<Record<UnclearReason, number>>;
  /** Nothing was done, and the caller was told so: no leader was known. */
  readonly unserved: number;
  /** Passed on to the leader by this node, which is where they are counted by outcome. */
  readonly forwarded: number;
}

/** Events of a control node since the start of its process. */
export interface EventCounts {
  readonly electionsStarted: number;
  readonly votesGranted: number;
  readonly leaderChanges: number;
  /** Changes of the voter set that this node took up; a swap of one voter is two, by way of a joint set. */
  readonly voterChanges: number;
  /** Repairs of this node's own replica that were completed. */
  readonly repairs: number;
  /** Copies at other voters that this node found different and sent anew. */
  readonly copiesMended: number;
  /** Times that this node asked for the list of runners since no leader did. */
  readonly leaderlessReadings: number;
}

/** Who votes, as far as this node knows. */
export interface VoterNumbers {
  /** All voters; of both sets while a joint change is under way. */
  readonly members: number;
  /** Voters, this node included, that have lately answered it. */
  readonly reachable: number;
  readonly isVoter: boolean;
  /** Whether a joint change is under way: a majority is then one of the old set and of the new. */
  readonly isJoint: boolean;
}

/** The agents that have a session with this node. */
export interface SessionNumbers {
  readonly open: number;
  /** Of those, the ones that work by an older configuration than the newest one known to be committed. */
  readonly behind: number;
  /** How many versions the last of them is behind. */
  readonly versionsBehind: number;
}

/** One look at a control node. Durations are in milliseconds. */
export interface ControlMetrics {
  readonly epoch: number;
  readonly isLeaderKnown: boolean;
  readonly isLeading: boolean;
  /** Whether this node leads and holds the whole state, so that it may decide on orders. */
  readonly isServing: boolean;
  /** Whether it may give orders to runners at this moment. */
  readonly mayOrder: boolean;
  readonly leaseLeftMs: number;
  /** Time since a majority of the voters, this node included, was last proven in contact; nothing if it never was. */
  readonly majorityContactAgeMs: number | undefined;
  readonly voters: VoterNumbers;
  readonly replica: ReplicaState;
  /** Parts of the state whose copy here cannot be trusted. */
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

/** Counts what a control node decides. It only ever grows; whoever reads it takes differences. */
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

  /** An order was committed and its caller told so. */
  countAccepted(): void {
    this.#accepted += 1;
  }

  /** An order that had been taken came again and was acknowledged again. */
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

  /** A call was turned away since no leader was known; nothing was done. */
  countUnserved(): void {
    this.#unserved += 1;
  }

  /** An order was passed on to the leader. */
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

  /** Everything that the others hold is in this node's replica, on disk. */
  countRepair(): void {
    this.#repairs += 1;
  }

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

  /** With what the election and the replica count by themselves. */
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
