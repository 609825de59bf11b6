import type { Moment, NodeId, PartitionName } from '../common/ids.js';
import type { Version } from '../common/version.js';
import type { Elector } from '../election/elector.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import type { ReplicaStatus, ReplicaStatusOutcome } from '../state/replica-status.js';
import type { ControlCounters } from './control-metrics.js';
import type { EffectQueue } from './effect-queue.js';
import type { FollowedVoters } from './followed-voters.js';
import type { VoteStorage } from './vote-storage.js';

/** What takes part in a repair. */
export interface RepairDependencies {
  readonly me: NodeId;
  readonly elector: Elector;
  readonly state: ReplicatedState;
  readonly replicaStatus: ReplicaStatus;
  readonly votes: VoteStorage;
  readonly voters: FollowedVoters;
  readonly counters: ControlCounters;
  readonly effects: EffectQueue;
  /** Whether a node that is no voter may be repaired as well, as in a deployment. */
  readonly hasSpares: boolean;
  /** Takes up what the election decided meanwhile. */
  readonly drainEffects: (now: Moment) => void;
}

/** Copies read for a repair that are not on disk yet. */
interface PendingRepair {
  readonly epoch: number;
  readonly pending: Set<PartitionName>;
}

/**
 * Carries out what was decided on a replica that may not count yet: it founds, or stores what it read. It counts once a
 * record of its votes is on disk, which is written after all copies.
 */
export class ReplicaRepair {
  readonly #dependencies: RepairDependencies;
  #repair: PendingRepair | undefined;
  /** The count of the record of votes after which this node counts. */
  #healthyOnceStored: number | undefined;

  constructor(parts: RepairDependencies) {
    this.#dependencies = parts;
  }

  /** Whether it was decided how this node comes to count, and it does not yet. */
  get isInProgress(): boolean {
    return this.#repair !== undefined || this.#healthyOnceStored !== undefined;
  }

  /** Whether votes are kept: not before every copy is on disk. */
  get mayPersistVotes(): boolean {
    return (
      this.#dependencies.replicaStatus.name === 'sound' || this.#healthyOnceStored !== undefined
    );
  }

  /** Founds or begins to repair, where that was decided and is not under way. */
  resolve(now: Moment, outcome: ReplicaStatusOutcome | undefined): void {
    if (!outcome || this.isInProgress) return;
    if (outcome.become === 'founded') {
      this.#dependencies.effects.log({ event: 'cluster formed' });
      this.#beginToVote(now, outcome.epoch);
    } else {
      this.#dependencies.effects.log({ event: 'replica read from peers', epoch: outcome.epoch });
      // Only what is newer than ours is stored anew, and only that is waited for.
      const waiting = new Set(this.#dependencies.state.adopt(outcome.copies));
      this.#dependencies.voters.follow();
      this.#repair = { epoch: outcome.epoch, pending: waiting };
      this.#completeIfStored(now);
    }
    this.#dependencies.drainEffects(now);
  }

  /** A copy is on disk. */
  onPersisted(now: Moment, partition: PartitionName): void {
    if (this.#repair?.pending.delete(partition)) this.#completeIfStored(now);
  }

  /** A record of votes is on disk. */
  onVotePersisted(version: Version): void {
    if (this.#healthyOnceStored === undefined || version.count < this.#healthyOnceStored) return;
    this.#healthyOnceStored = undefined;
    this.#dependencies.replicaStatus.resolve();
    this.#dependencies.effects.log({ event: 'replica became healthy' });
  }

  #completeIfStored(now: Moment): void {
    const repair = this.#repair;
    if (!repair || repair.pending.size > 0) return;
    this.#repair = undefined;
    this.#dependencies.counters.countRepair();
    const { hasSpares, voters, me } = this.#dependencies;
    // One that is no voter has granted nothing that binds here: it joins the epoch that stands, and no election is due for it.
    this.#beginToVote(now, hasSpares && !voters.quorum.includes(me) ? 0 : repair.epoch);
  }

  #beginToVote(now: Moment, epoch: number): void {
    this.#healthyOnceStored = this.#dependencies.votes.nextCount;
    this.#dependencies.elector.setMayVote(true, { epoch, grantEpoch: 0, grantLeader: '' }, now);
  }
}
