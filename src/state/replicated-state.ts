import { partitionName, type Moment, type NodeId, type PartitionName } from '../common/ids.js';
import type { StoredReplica, MemberVersion, Message } from '../common/messages.js';
import type { Quorum } from '../common/quorum.js';
import { compareVersions, NO_VERSION, type Version } from '../common/version.js';
import { AntiEntropy } from './anti-entropy.js';
import { LocalPartitions } from './local-partitions.js';
import { StateEffects, type ReplicatedStateEffect } from './replicated-state-effect.js';
import { QuorumCoordinator, type QuorumOf } from './quorum-coordinator.js';
import type { StoredPartition } from './store.js';

export type { ReplicatedStateEffect } from './replicated-state-effect.js';

type ReadMessage = Extract<Message, { kind: 'read' }>;
type WriteMessage = Extract<Message, { kind: 'write' }>;

/** The reply to a write, sent once the version is on disk. */
interface PendingReply {
  readonly to: NodeId;
  readonly version: Version;
  readonly members: readonly MemberVersion[];
}

/**
 * The replicated state at one voter: its local replica and, while it leads, the coordinator of reads and writes. Each
 * partition has versions, writes and files of its own; there is no order between writes of different partitions.
 */
export class ReplicatedState {
  readonly #me: NodeId;
  readonly #effects = new StateEffects();
  readonly #replica: LocalPartitions;
  readonly #coordinator: QuorumCoordinator;
  readonly #antiEntropy: AntiEntropy;
  readonly #pendingReplies = new Map<PartitionName, PendingReply>();
  /** The version of each partition that was last persisted in this incarnation. */
  readonly #persistedVersions = new Map<PartitionName, Version>();

  constructor(
    me: NodeId,
    quorum: Quorum,
    names: readonly PartitionName[],
    storedPartitions: readonly StoredPartition[],
    quorumOf: QuorumOf = noQuorum,
  ) {
    this.#me = me;
    this.#replica = new LocalPartitions(names, storedPartitions, this.#effects);
    this.#coordinator = new QuorumCoordinator(me, quorum, this.#replica, this.#effects, quorumOf);
    this.#antiEntropy = new AntiEntropy(me, this.#replica, this.#coordinator, this.#effects);
  }

  /** Whether this voter leads and every partition has been read from a majority and rewritten in its epoch. */
  get isServing(): boolean {
    return this.#coordinator.isServing;
  }
  /** Number of partitions sent by anti-entropy to repair other replicas since the process started. */
  get repairCount(): number {
    return this.#antiEntropy.repairCount;
  }

  /** Replaces the voters of which a majority is required. */
  setQuorum(quorum: Quorum): void {
    this.#coordinator.setQuorum(quorum);
  }

  /** Removes and returns the effects that the host has to carry out, in order. */
  drain(): ReplicatedStateEffect[] {
    return this.#effects.drain();
  }

  /** The version at the local replica; `NO_VERSION` for an unknown partition. */
  versionOf(partition: PartitionName): Version {
    return this.#replica.get(partition)?.version ?? NO_VERSION;
  }

  /** The body at the local replica; empty for an unknown partition. */
  replicaBody(partition: PartitionName): string {
    return this.#replica.get(partition)?.body ?? '';
  }

  /** The partitions whose newest file was corrupt and that are not repaired yet. */
  corruptPartitions(): readonly PartitionName[] {
    return this.#replica.corruptPartitions();
  }

  /** All partitions of the local replica in their message form. */
  storedReplicas(): StoredReplica[] {
    return this.#replica.toStoredReplicas();
  }

  /** Adopts newer versions read from peers; returns the partitions that must be persisted before this replica may vote. */
  adopt(copies: readonly StoredReplica[]): ReadonlySet<PartitionName> {
    return this.#replica.adopt(copies);
  }

  // ---- leader

  /** Starts to lead: reads every partition from a majority and rewrites the newest version in this epoch before it serves. */
  lead(now: Moment, epoch: number): void {
    this.#coordinator.lead(now, epoch);
  }

  /** Steps down and drops effects that are valid only while this voter leads. */
  stepDown(): void {
    this.#coordinator.stepDown();
    this.#effects.dropCoordinatorEffects();
  }

  /** The body last written by this leader, committed or not; empty while it has not rewritten the partition. */
  body(partition: PartitionName): string {
    return this.#coordinator.body(partition);
  }

  /** Whether a write of this partition is in flight. */
  isWriting(partition: PartitionName): boolean {
    return this.#coordinator.isWriting(partition);
  }

  /**
   * Writes a partition; the effect `committed` returns the token. Only one write of a partition is in flight at a time; those
   * requested meanwhile are combined into the next one, with the newest body. Returns the count of the version.
   *
   * @throws Error if this voter does not lead, or the rewrite of the partition in its epoch is not committed.
   */
  write(now: Moment, partition: PartitionName, body: string, token: number): number {
    return this.#coordinator.write(now, partition, body, token);
  }

  /** Repeats reads and writes without a reply, commits writes that are due, and compares replicas. */
  tick(now: Moment): void {
    this.#coordinator.tick(now);
    this.#antiEntropy.tick(now);
  }

  // ---- replica

  /**
   * Handles a message of another voter. `grantedEpoch` is the epoch whose grant is on this voter's disk and still valid, or 0;
   * `members` are the members known to this voter, sent with its acknowledgements.
   */
  onMessage(
    now: Moment,
    from: NodeId,
    message: Message,
    grantedEpoch: number,
    members: readonly MemberVersion[],
    replicaStatus: string,
  ): void {
    switch (message.kind) {
      case 'write':
        this.#onWrite(from, message, grantedEpoch, members);
        break;
      case 'writeReply':
        this.#coordinator.onWriteReply(now, from, message);
        break;
      case 'read':
        this.#onRead(from, message, grantedEpoch, replicaStatus);
        break;
      case 'readReply':
        this.#coordinator.onReadReply(now, from, message);
        break;
      case 'digest':
        this.#antiEntropy.onDigest(from, message);
        break;
      case 'digestReply':
        this.#antiEntropy.onDigestReply(from, message);
        break;
      default:
        break;
    }
  }

  /** Handles the completion of a `store` effect: acknowledges the version while its epoch is still granted. */
  onPersisted(
    partition: PartitionName,
    version: Version,
    grantedEpoch: number,
    now?: Moment,
  ): void {
    this.#persistedVersions.set(partition, version);
    // Acknowledged only while its epoch is still granted: a newer leader may have read this replica before the write was on disk.
    if (version.epoch !== grantedEpoch) return;
    if (this.#coordinator.epoch === version.epoch && now !== undefined) {
      this.#coordinator.onAck(now, this.#me, partition, version, []);
      return;
    }
    const pendingReply = this.#pendingReplies.get(partition);
    if (pendingReply && compareVersions(pendingReply.version, version) === 0)
      this.#replyTo(pendingReply.to, partition, version, true, pendingReply.members);
  }

  #onRead(from: NodeId, message: ReadMessage, grantedEpoch: number, replicaStatus: string): void {
    if (message.epoch !== grantedEpoch || grantedEpoch === 0) return;
    this.#effects.send(from, {
      kind: 'readReply',
      epoch: grantedEpoch,
      nonce: message.nonce,
      sound: true,
      copies: this.storedReplicas(),
      standing: replicaStatus,
    });
  }

  #onWrite(
    from: NodeId,
    message: WriteMessage,
    grantedEpoch: number,
    members: readonly MemberVersion[],
  ): void {
    const partition = partitionName(message.part);
    const local = this.#replica.get(partition);
    const version = { epoch: message.epoch, count: message.count };
    // Rejects writes of an older epoch or version, and of an epoch not granted yet: its leader sends these again after the grant.
    if (!local || message.epoch !== grantedEpoch || compareVersions(version, local.version) < 0) {
      this.#replyTo(from, partition, version, false, []);
      return;
    }
    const isRepeated = compareVersions(version, local.version) === 0 && local.isIntact;
    this.#replica.put(partition, version, message.body);
    this.#pendingReplies.set(partition, { to: from, version, members });
    if (isRepeated && this.#isPersisted(partition, version))
      this.onPersisted(partition, version, grantedEpoch);
    else this.#effects.store(partition, version, message.body);
  }

  #isPersisted(partition: PartitionName, version: Version): boolean {
    const persisted = this.#persistedVersions.get(partition);
    return persisted !== undefined && compareVersions(persisted, version) === 0;
  }

  #replyTo(
    to: NodeId,
    partition: PartitionName,
    version: Version,
    isAccepted: boolean,
    members: readonly MemberVersion[],
  ): void {
    this.#effects.send(to, {
      kind: 'writeReply',
      part: partition,
      ...version,
      good: isAccepted,
      members: [...members],
    });
  }
}

function noQuorum(): undefined {
  return undefined;
}
