import type { Moment, NodeId, PartName } from '../common/ids.js';
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

/** Who is told what concerns the replicated state. */
export interface StateMessageParts {
  readonly elector: Elector;
  readonly parts: ReplicatedState;
  readonly replicaStatus: ReplicaStatus;
  readonly repair: ReplicaRepair;
  readonly votes: VoteStorage;
  readonly voters: FollowedVoters;
  readonly members: KnownMembers;
  readonly effects: EffectQueue;
}

type ReadMessage = Extract<Message, { kind: 'read' }>;
type ReadReply = Extract<Message, { kind: 'readReply' }>;
type PartMessage = Extract<
  Message,
  { kind: 'read' | 'readReply' | 'write' | 'writeReply' | 'digest' | 'digestReply' }
>;

/** Messages between control nodes on the replicated state, and what reached the disk of it. */
export class StateMessages {
  readonly #parts: StateMessageParts;

  constructor(parts: StateMessageParts) {
    this.#parts = parts;
  }

  /** Says whether the message was of this family. */
  receive(now: Moment, from: NodeId, message: Message): boolean {
    switch (message.kind) {
      case 'read':
        this.#receiveRead(now, from, message);
        return true;
      case 'readReply':
        this.#receiveReadReply(now, from, message);
        return true;
      case 'write':
      case 'writeReply':
      case 'digest':
      case 'digestReply':
        this.#receiveState(now, from, message);
        return true;
      default:
        return false;
    }
  }

  /** Asks whoever this node must have read before it counts. */
  tick(now: Moment): void {
    const { replicaStatus, repair, voters, effects } = this.#parts;
    for (const { to, message } of replicaStatus.tick(now, voters.quorum)) effects.send(to, message);
    repair.settle(now, replicaStatus.outcome(now, voters.quorum));
  }

  /** A copy reached the disk. */
  stored(now: Moment, part: PartName, version: Version): void {
    this.#parts.parts.stored(part, version, this.#grantedEpoch(), now);
    this.#parts.repair.stored(now, part);
  }

  /** Without an epoch it is asked for a repair, by one that does not count yet. */
  #receiveRead(now: Moment, from: NodeId, message: ReadMessage): void {
    if (message.epoch !== 0) {
      this.#receiveState(now, from, message);
      return;
    }
    const { replicaStatus, elector, parts, effects } = this.#parts;
    const hasGranted = elector.record.grantEpoch > 0;
    effects.send(
      from,
      replicaStatus.replyTo(message.nonce, elector.epoch, parts.copies(), hasGranted),
    );
  }

  #receiveReadReply(now: Moment, from: NodeId, message: ReadReply): void {
    if (message.sound) {
      this.#receiveState(now, from, message);
      return;
    }
    const { replicaStatus, repair, voters } = this.#parts;
    repair.settle(now, replicaStatus.receive(now, from, message, voters.quorum));
  }

  #receiveState(now: Moment, from: NodeId, message: PartMessage): void {
    const { parts, members, replicaStatus } = this.#parts;
    // Only a write's return names members.
    const named = message.kind === 'write' ? members.possible(now) : [];
    parts.receive(now, from, message, this.#grantedEpoch(), named, replicaStatus.name);
  }

  /** The epoch granted here, on disk, and not moved on from; 0 if none is. */
  #grantedEpoch(): number {
    const { replicaStatus, elector, votes } = this.#parts;
    const isBinding = replicaStatus.name === 'sound' && votes.keptGrant === elector.epoch;
    return isBinding ? votes.keptGrant : 0;
  }
}
