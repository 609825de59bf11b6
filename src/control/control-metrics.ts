/**
 * The metrics of a control node as plain numbers: counters of its decisions, and a read-only snapshot of its state.
 * Independent of metrics library, clock and network, so that the core, which owns the counters, has no side effects.
 */

import type { ErrorCode } from '../common/errors.js';
import { versionsBetween, type Version } from '../common/version.js';

/** Why an operator's edit was rejected: it has no effect, now or later. The metrics call edits orders. */
export const REFUSAL_REASONS = ['base-changed', 'invalid', 'too-old', 'other'] as const;
/** One of `REFUSAL_REASONS`. */
export type RefusalReason = (typeof REFUSAL_REASONS)[number];

const REASON_OF: ReadonlyMap<ErrorCode, RefusalReason> = new Map([
  ['base-lost', 'base-changed'],
  ['bad-config', 'invalid'],
  ['bad-table', 'invalid'],
  ['malformed', 'invalid'],
]);

/** The reason under which a rejection with this error code is counted. */
export function refusalReason(code: ErrorCode): RefusalReason {
  return REASON_OF.get(code) ?? 'other';
}

/** Why the outcome of an edit is unknown to its client: it may have been accepted, or may still be. */
export const UNCLEAR_REASONS = ['no-majority', 'leader-lost', 'timeout', 'forgotten'] as const;
/** One of `UNCLEAR_REASONS`. */
export type UnclearReason = (typeof UNCLEAR_REASONS)[number];

/** Whether a replica counts towards a majority: `blank` started empty, `lost` has a corrupt record. */
export const REPLICA_STATES = ['sound', 'blank', 'lost', 'repairing'] as const;
/** One of `REPLICA_STATES`. */
export type ReplicaState = (typeof REPLICA_STATES)[number];

/** Operators' edits since the start of this process, each counted by the node that decided on it. */
export interface EditCounts {
  readonly accepted: number;
  /** Of the accepted ones, retries of edits that were already committed. */
  readonly acknowledgedAgain: number;
  readonly refused: Readonly<Record<RefusalReason, number>>;
  readonly unclear: Readonly<Record<UnclearReason, number>>;
  /** Rejected without effect, since no leader was known. */
  readonly unserved: number;
  /** Forwarded by this node to the leader, which counts them by outcome. */
  readonly forwarded: number;
}

/** Events of a control node since the start of its process. */
export interface EventCounts {
  readonly electionsStarted: number;
  readonly votesGranted: number;
  readonly leaderChanges: number;
  /** Voter sets that came into force here; the replacement of one voter counts as two, since it passes through a joint set. */
  readonly voterChanges: number;
  /** Completed repairs of this node's own replica. */
  readonly repairs: number;
  /** Partitions that this node sent again to other voters, whose copies differed. */
  readonly copiesRepaired: number;
  /** How often this node read the list of runners because there was no leader to do so. */
  readonly leaderlessListReads: number;
}

/** The voters, as far as this node knows them. */
export interface VoterMetrics {
  /** All voters; those of both sets during a joint change. */
  readonly members: number;
  /** Voters, this node included, that have recently answered it. */
  readonly reachable: number;
  readonly isVoter: boolean;
  /** Whether a joint change is in progress: a majority then needs one of the old set and one of the new set. */
  readonly isJoint: boolean;
}

/** The agents that have a session with this node. */
export interface SessionMetrics {
  readonly open: number;
  /** Those of them whose configuration is older than the newest one known to be committed. */
  readonly behind: number;
  /** How many versions the agent that lags most is behind. */
  readonly versionsBehind: number;
}

/** A snapshot of a control node. Durations are in milliseconds. */
export interface ControlMetrics {
  readonly epoch: number;
  readonly isLeaderKnown: boolean;
  readonly isLeading: boolean;
  /** Whether this node leads and has read the complete state, so that it may decide on edits. */
  readonly isServing: boolean;
  /** Whether it may send orders to runners at this moment. */
  readonly mayOrder: boolean;
  readonly leaseLeftMs: number;
  /** Time since a majority of the voters, this node included, was last in contact; undefined if it never was. */
  readonly majorityContactAgeMs: number | undefined;
  readonly voters: VoterMetrics;
  readonly replica: ReplicaState;
  /** Partitions of the state whose stored data here is corrupt. */
  readonly corruptPartitions: number;
  /** The configuration in this node's own replica, committed or not. */
  readonly configHeld: Version;
  /** The newest configuration that this node knows to be committed. */
  readonly configCommitted: Version;
  readonly edits: EditCounts;
  readonly events: EventCounts;
  readonly sessions: SessionMetrics;
}

type Counts<Key extends string> = Record<Key, number>;

/** Counts the decisions of a control node. All counters are monotonic. */
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

  /** An edit was committed and acknowledged. */
  countAccepted(): void {
    this.#accepted += 1;
  }

  /** A retry of a committed edit was acknowledged. */
  countAcknowledgedAgain(): void {
    this.#accepted += 1;
    this.#acknowledgedAgain += 1;
  }

  /** An edit was rejected; `too-old` is the evacuation of a zone that exceeded its maximum age. */
  countRefused(reason: RefusalReason): void {
    this.#refused[reason] += 1;
  }

  /** The outcome of an edit is unknown to its client. */
  countUnclear(reason: UnclearReason): void {
    this.#unclear[reason] += 1;
  }

  /** An edit was rejected without effect, since no leader was known. */
  countUnserved(): void {
    this.#unserved += 1;
  }

  /** An edit was forwarded to the leader. */
  countForwarded(): void {
    this.#forwarded += 1;
  }

  /** The leader that this node knows has changed, or is no longer known. */
  countLeaderChange(): void {
    this.#leaderChanges += 1;
  }

  /** Another voter set came into force here. */
  countVoterChange(): void {
    this.#voterChanges += 1;
  }

  /** A repair of this node's replica was completed: the complete state of the peers is on its disk. */
  countRepair(): void {
    this.#repairs += 1;
  }

  /** Operators' edits, by outcome. */
  get edits(): EditCounts {
    return {
      accepted: this.#accepted,
      acknowledgedAgain: this.#acknowledgedAgain,
      refused: { ...this.#refused },
      unclear: { ...this.#unclear },
      unserved: this.#unserved,
      forwarded: this.#forwarded,
    };
  }

  /** Events, together with those that the election and the replica count. */
  eventsWith(own: {
    readonly electionsStarted: number;
    readonly votesGranted: number;
    readonly copiesRepaired: number;
    readonly leaderlessListReads: number;
  }): EventCounts {
    return {
      ...own,
      leaderChanges: this.#leaderChanges,
      voterChanges: this.#voterChanges,
      repairs: this.#repairs,
    };
  }
}

/** How far the agents with a session, which acknowledged these versions, are behind the committed configuration. */
export function sessionMetrics(acked: readonly Version[], committed: Version): SessionMetrics {
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
