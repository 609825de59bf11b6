import type { Moment, NodeId, PartitionName } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { Version } from '../common/version.js';
import type { Elector } from '../election/elector.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import type { ReplicaStatus } from '../state/replica-status.js';
import type { EffectQueue } from './effect-queue.js';
import type { FollowedVoters } from './followed-voters.js';
import type { KnownMembers } from './known-members.js';
import type { ReplicaRepair } from './replica-repair.js';
import type { VoteStorage } from './vote-storage.js';

/** The components that handle messages about the replicated state. */
export interface StateMessageDependencies {
  readonly elector: Elector;
  readonly state: ReplicatedState;
  readonly replicaStatus: ReplicaStatus;
  readonly repair: ReplicaRepair;
  readonly votes: VoteStorage;
  readonly voters: FollowedVoters;
  readonly members: KnownMembers;
  readonly effects: EffectQueue;
}

type ReadMessage = Extract<Message, { kind: 'read' }>;
type ReadReply = Extract<Message, { kind: 'readReply' }>;
type PartitionMessage = Extract<
  Message,
  { kind: 'read' | 'readReply' | 'write' | 'writeReply' | 'digest' | 'digestReply' }
>;

/** Routes messages between control nodes about the replicated state, and its completed disk writes. */
export class StateMessages {
  readonly #dependencies: StateMessageDependencies;

  constructor(dependencies: StateMessageDependencies) {
    this.#dependencies = dependencies;
  }

  /** Handles a message; returns false if it is not about the replicated state. */
  onMessage(now: Moment, from: NodeId, message: Message): boolean {
    switch (message.kind) {
      case 'read':
        this.#onRead(now, from, message);
        return true;
      case 'readReply':
        this.#onReadReply(now, from, message);
        return true;
      case 'write':
      case 'writeReply':
      case 'digest':
      case 'digestReply':
        this.#onStateMessage(now, from, message);
        return true;
      default:
        return false;
    }
  }

  /** Requests the replicas that this node must read before it may count in majorities, and repairs its own once it has enough. */
  tick(now: Moment): void {
    const { replicaStatus, repair, voters, effects } = this.#dependencies;
    for (const { to, message } of replicaStatus.tick(now, voters.quorum)) effects.send(to, message);
    repair.resolve(now, replicaStatus.outcome(now, voters.quorum));
  }

  /** This version of a partition is on disk. */
  onPersisted(now: Moment, partition: PartitionName, version: Version): void {
    this.#dependencies.state.onPersisted(partition, version, this.#grantedEpoch(), now);
    this.#dependencies.repair.onPersisted(now, partition);
  }

  /** A read without an epoch is for the repair of a node that may not count in majorities yet. */
  #onRead(now: Moment, from: NodeId, message: ReadMessage): void {
    if (message.epoch !== 0) {
      this.#onStateMessage(now, from, message);
      return;
    }
    const { replicaStatus, elector, state, effects } = this.#dependencies;
    const hasGranted = elector.record.grantEpoch > 0;
    effects.send(
      from,
      replicaStatus.replyTo(message.nonce, elector.epoch, state.storedReplicas(), hasGranted),
    );
  }

  #onReadReply(now: Moment, from: NodeId, message: ReadReply): void {
    if (message.sound) {
      this.#onStateMessage(now, from, message);
      return;
    }
    const { replicaStatus, repair, voters } = this.#dependencies;
    repair.resolve(now, replicaStatus.onReadReply(now, from, message, voters.quorum));
  }

  #onStateMessage(now: Moment, from: NodeId, message: PartitionMessage): void {
    const { state, members, replicaStatus } = this.#dependencies;
    // Only the reply to a write reports members.
    const reportedMembers = message.kind === 'write' ? members.possible(now) : [];
    state.onMessage(now, from, message, this.#grantedEpoch(), reportedMembers, replicaStatus.name);
  }

  /** The epoch that this voter has granted and persisted and is still in; 0 if there is none. */
  #grantedEpoch(): number {
    const { replicaStatus, elector, votes } = this.#dependencies;
    const isBinding = replicaStatus.name === 'sound' && votes.persistedGrant === elector.epoch;
    return isBinding ? votes.persistedGrant : 0;
  }
}
