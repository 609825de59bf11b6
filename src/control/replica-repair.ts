import type { Moment, NodeId, PartitionName } from '../common/ids.js';
import type { Version } from '../common/version.js';
import type { Elector } from '../election/elector.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import type { ReplicaStatus, ReplicaStatusOutcome } from '../state/replica-status.js';
import type { ControlCounters } from './control-metrics.js';
import type { EffectQueue } from './effect-queue.js';
import type { FollowedVoters } from './followed-voters.js';
import type { VoteStorage } from './vote-storage.js';

/** The components that a repair uses. */
export interface RepairDependencies {
  readonly me: NodeId;
  readonly elector: Elector;
  readonly state: ReplicatedState;
  readonly replicaStatus: ReplicaStatus;
  readonly votes: VoteStorage;
  readonly voters: FollowedVoters;
  readonly counters: ControlCounters;
  readonly effects: EffectQueue;
  /** Whether spares exist: nodes that are not voters and are repaired as well, as in a deployment. */
  readonly hasSpares: boolean;
  /** Applies the effects that the election has requested in the meantime. */
  readonly drainEffects: (now: Moment) => void;
}

/** A repair whose partitions are not all on disk yet. */
interface PendingRepair {
  readonly epoch: number;
  readonly pending: Set<PartitionName>;
}

/**
 * Makes a replica healthy that may not count in majorities yet: it starts a new cluster, or stores the partitions that it
 * read from its peers. It counts once a vote record is on disk, which is written after all partitions.
 */
export class ReplicaRepair {
  readonly #dependencies: RepairDependencies;
  #repair: PendingRepair | undefined;
  /** This node counts in majorities once the vote record of this count is on disk. */
  #healthyAtVoteCount: number | undefined;

  constructor(dependencies: RepairDependencies) {
    this.#dependencies = dependencies;
  }

  /** Whether the outcome is decided but not on disk yet. */
  get isInProgress(): boolean {
    return this.#repair !== undefined || this.#healthyAtVoteCount !== undefined;
  }

  /** Whether votes may be written: only after every partition is on disk. */
  get mayPersistVotes(): boolean {
    return (
      this.#dependencies.replicaStatus.name === 'sound' || this.#healthyAtVoteCount !== undefined
    );
  }

  /** Starts a new cluster or begins to store the partitions read, if that is decided and not in progress yet. */
  resolve(now: Moment, outcome: ReplicaStatusOutcome | undefined): void {
    if (!outcome || this.isInProgress) return;
    if (outcome.become === 'founded') {
      this.#dependencies.effects.log({ event: 'cluster formed' });
      this.#beginToVote(now, outcome.epoch);
    } else {
      this.#dependencies.effects.log({ event: 'replica read from peers', epoch: outcome.epoch });
      // Only partitions newer than those of this replica are stored and waited for.
      const pending = new Set(this.#dependencies.state.adopt(outcome.copies));
      this.#dependencies.voters.follow();
      this.#repair = { epoch: outcome.epoch, pending };
      this.#completeIfStored(now);
    }
    this.#dependencies.drainEffects(now);
  }

  /** A partition is on disk. */
  onPersisted(now: Moment, partition: PartitionName): void {
    if (this.#repair?.pending.delete(partition)) this.#completeIfStored(now);
  }

  /** A vote record is on disk. */
  onVotePersisted(version: Version): void {
    if (this.#healthyAtVoteCount === undefined || version.count < this.#healthyAtVoteCount) return;
    this.#healthyAtVoteCount = undefined;
    this.#dependencies.replicaStatus.markHealthy();
    this.#dependencies.effects.log({ event: 'replica became healthy' });
  }

  #completeIfStored(now: Moment): void {
    const repair = this.#repair;
    if (!repair || repair.pending.size > 0) return;
    this.#repair = undefined;
    this.#dependencies.counters.countRepair();
    const { hasSpares, voters, me } = this.#dependencies;
    // A spare has granted no vote that could bind it here: it joins the current epoch and needs no election.
    this.#beginToVote(now, hasSpares && !voters.quorum.includes(me) ? 0 : repair.epoch);
  }

  #beginToVote(now: Moment, epoch: number): void {
    this.#healthyAtVoteCount = this.#dependencies.votes.nextCount;
    this.#dependencies.elector.setMayVote(true, { epoch, grantEpoch: 0, grantLeader: '' }, now);
  }
}
