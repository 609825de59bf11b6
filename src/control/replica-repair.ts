import type { Moment, NodeId, PartName } from '../common/ids.js';
import type { Version } from '../common/version.js';
import type { Elector } from '../election/elector.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import type { ReplicaStatus, ReplicaStatusOutcome } from '../state/replica-status.js';
import type { ControlCounters } from './control-metrics.js';
import type { EffectQueue } from './effect-queue.js';
import type { FollowedVoters } from './followed-voters.js';
import type { VoteStorage } from './vote-storage.js';

/** What takes part in a repair. */
export interface RepairParts {
  readonly me: NodeId;
  readonly elector: Elector;
  readonly parts: ReplicatedState;
  readonly replicaStatus: ReplicaStatus;
  readonly votes: VoteStorage;
  readonly voters: FollowedVoters;
  readonly counters: ControlCounters;
  readonly effects: EffectQueue;
  /** Whether a node that is no voter may be repaired as well, as in a deployment. */
  readonly hasSpares: boolean;
  /** Takes up what the election decided meanwhile. */
  readonly collect: (now: Moment) => void;
}

/** Copies read for a repair that are not on disk yet. */
interface Repair {
  readonly epoch: number;
  readonly waiting: Set<PartName>;
}

/**
 * Carries out what was decided on a replica that may not count yet: it founds, or stores what it read. It counts once a
 * record of its votes is on disk, which is written after all copies.
 */
export class ReplicaRepair {
  readonly #parts: RepairParts;
  #repair: Repair | undefined;
  /** The count of the record of votes after which this node counts. */
  #soundAfter: number | undefined;

  constructor(parts: RepairParts) {
    this.#parts = parts;
  }

  /** Whether it was decided how this node comes to count, and it does not yet. */
  get isUnderWay(): boolean {
    return this.#repair !== undefined || this.#soundAfter !== undefined;
  }

  /** Whether votes are kept: not before every copy is on disk. */
  get mayKeepVotes(): boolean {
    return this.#parts.replicaStatus.name === 'sound' || this.#soundAfter !== undefined;
  }

  /** Founds or begins to repair, where that was decided and is not under way. */
  settle(now: Moment, outcome: ReplicaStatusOutcome | undefined): void {
    if (!outcome || this.isUnderWay) return;
    if (outcome.become === 'founded') {
      this.#parts.effects.note('founding', {});
      this.#beginToVote(now, outcome.epoch);
    } else {
      this.#parts.effects.note('repaired from peers', { epoch: outcome.epoch });
      // Only what is newer than ours is stored anew, and only that is waited for.
      const waiting = new Set(this.#parts.parts.adopt(outcome.copies));
      this.#parts.voters.follow();
      this.#repair = { epoch: outcome.epoch, waiting };
      this.#endIfStored(now);
    }
    this.#parts.collect(now);
  }

  /** A copy is on disk. */
  stored(now: Moment, part: PartName): void {
    if (this.#repair?.waiting.delete(part)) this.#endIfStored(now);
  }

  /** A record of votes is on disk. */
  voteStored(version: Version): void {
    if (this.#soundAfter === undefined || version.count < this.#soundAfter) return;
    this.#soundAfter = undefined;
    this.#parts.replicaStatus.settle();
    this.#parts.effects.note('standing is sound', {});
  }

  #endIfStored(now: Moment): void {
    const repair = this.#repair;
    if (!repair || repair.waiting.size > 0) return;
    this.#repair = undefined;
    this.#parts.counters.countRepair();
    const { hasSpares, voters, me } = this.#parts;
    // One that is no voter has granted nothing that binds here: it joins the epoch that stands, and no election is due for it.
    this.#beginToVote(now, hasSpares && !voters.quorum.holds(me) ? 0 : repair.epoch);
  }

  #beginToVote(now: Moment, epoch: number): void {
    this.#soundAfter = this.#parts.votes.nextCount;
    this.#parts.elector.setMayVote(true, { epoch, grantEpoch: 0, grantLeader: '' }, now);
  }
}
