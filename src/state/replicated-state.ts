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

/** A write that is answered once it is on disk. */
interface PendingReply {
  readonly to: NodeId;
  readonly version: Version;
  readonly members: readonly MemberVersion[];
}

/**
 * The replicated state at one voter: its local replica and, while it leads, the coordinator of reads and writes. Each
 * partition has versions, writes and files of its own; writes of different partitions are not ordered against each other.
 */
export class ReplicatedState {
  readonly #me: NodeId;
  readonly #effects = new StateEffects();
  readonly #replica: LocalPartitions;
  readonly #coordinator: QuorumCoordinator;
  readonly #antiEntropy: AntiEntropy;
  readonly #pendingReplies = new Map<PartitionName, PendingReply>();
  /** The last version of each partition that was persisted in this incarnation. */
  readonly #persistedVersions = new Map<PartitionName, Version>();

  constructor(
    me: NodeId,
    quorum: Quorum,
    names: readonly PartitionName[],
    onPersisted: readonly StoredPartition[],
    quorumOf: QuorumOf = noQuorum,
  ) {
    this.#me = me;
    this.#replica = new LocalPartitions(names, onPersisted, this.#effects);
    this.#coordinator = new QuorumCoordinator(me, quorum, this.#replica, this.#effects, quorumOf);
    this.#antiEntropy = new AntiEntropy(me, this.#replica, this.#coordinator, this.#effects);
  }

  /** Whether every partition was read from a majority and rewritten in the epoch that this voter leads. */
  get isServing(): boolean {
    return this.#coordinator.isServing;
  }
  /** How many partitions of other replicas were repaired by anti-entropy. */
  get repairs(): number {
    return this.#antiEntropy.repairs;
  }

  setQuorum(quorum: Quorum): void {
    this.#coordinator.setQuorum(quorum);
  }

  drain(): ReplicatedStateEffect[] {
    return this.#effects.drain();
  }

  /** The version at the local replica; NO_VERSION for an unknown partition. */
  versionOf(partition: PartitionName): Version {
    return this.#replica.of(partition)?.version ?? NO_VERSION;
  }

  /** The body at the local replica; empty for an unknown partition. */
  replicaBody(partition: PartitionName): string {
    return this.#replica.of(partition)?.body ?? '';
  }

  corruptPartitions(): readonly PartitionName[] {
    return this.#replica.corruptPartitions();
  }

  replicaMessages(): StoredReplica[] {
    return this.#replica.toMessages();
  }

  /** Takes over newer versions read from peers; returns the partitions that must be on disk before this replica counts. */
  adopt(copies: readonly StoredReplica[]): ReadonlySet<PartitionName> {
    return this.#replica.adopt(copies);
  }

  // ---- leader

  /** Begins to lead: reads every partition from a majority and rewrites the newest in this epoch; then it serves. */
  lead(now: Moment, epoch: number): void {
    this.#coordinator.lead(now, epoch);
  }

  /** Stops leading; effects that only a leader may act on are dropped. */
  release(): void {
    this.#coordinator.release();
    this.#effects.dropCoordinatorEffects();
  }

  /** The body as last written here, committed or not. */
  body(partition: PartitionName): string {
    return this.#coordinator.body(partition);
  }

  /** Whether a write of this partition is not committed yet. */
  isWriting(partition: PartitionName): boolean {
    return this.#coordinator.isWriting(partition);
  }

  /**
   * Writes a partition; `committed` names the token. One write of a partition is in flight at a time, and those that come
   * meanwhile are joined into the next one, of the newest body. Returns the count of its version; throws if this voter
   * has not read the partition as leader.
   */
  write(now: Moment, partition: PartitionName, body: string, token: number): number {
    return this.#coordinator.write(now, partition, body, token);
  }

  tick(now: Moment): void {
    this.#coordinator.tick(now);
    this.#antiEntropy.tick(now);
  }

  // ---- replica

  /** A message came. `granted` is the epoch whose grant is on this voter's disk and still valid; 0 if none. */
  onMessage(
    now: Moment,
    from: NodeId,
    message: Message,
    granted: number,
    members: readonly MemberVersion[],
    standing: string,
  ): void {
    switch (message.kind) {
      case 'write':
        this.#onWrite(from, message, granted, members);
        break;
      case 'writeReply':
        this.#coordinator.onWriteReply(now, from, message);
        break;
      case 'read':
        this.#onRead(from, message, granted, standing);
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

  /** A version has reached the disk. */
  stored(partition: PartitionName, version: Version, granted: number, now?: Moment): void {
    this.#persistedVersions.set(partition, version);
    // Acknowledged only while that epoch is still granted: a newer leader may have read us before this write was on disk.
    if (version.epoch !== granted) return;
    if (this.#coordinator.epoch === version.epoch && now !== undefined) {
      this.#coordinator.onAck(now, this.#me, partition, version, []);
      return;
    }
    const due = this.#pendingReplies.get(partition);
    if (due && compareVersions(due.version, version) === 0)
      this.#replyTo(due.to, partition, version, true, due.members);
  }

  #onRead(from: NodeId, message: ReadMessage, granted: number, standing: string): void {
    if (message.epoch !== granted || granted === 0) return;
    this.#effects.send(from, {
      kind: 'readReply',
      epoch: granted,
      nonce: message.nonce,
      sound: true,
      copies: this.replicaMessages(),
      standing,
    });
  }

  #onWrite(
    from: NodeId,
    message: WriteMessage,
    granted: number,
    members: readonly MemberVersion[],
  ): void {
    const partition = partitionName(message.part);
    const local = this.#replica.of(partition);
    const version = { epoch: message.epoch, count: message.count };
    // A write of an older epoch is rejected; one of an epoch not granted yet is sent again after our grant.
    if (!local || message.epoch !== granted || compareVersions(version, local.version) < 0) {
      this.#replyTo(from, partition, version, false, []);
      return;
    }
    const isRepeated = compareVersions(version, local.version) === 0 && local.isIntact;
    this.#replica.put(partition, version, message.body);
    this.#pendingReplies.set(partition, { to: from, version, members });
    if (isRepeated && this.#isPersisted(partition, version))
      this.stored(partition, version, granted);
    else this.#effects.store(partition, version, message.body);
  }

  #isPersisted(partition: PartitionName, version: Version): boolean {
    const stored = this.#persistedVersions.get(partition);
    return stored !== undefined && compareVersions(stored, version) === 0;
  }

  #replyTo(
    to: NodeId,
    partition: PartitionName,
    version: Version,
    isGood: boolean,
    members: readonly MemberVersion[],
  ): void {
    this.#effects.send(to, {
      kind: 'writeReply',
      part: partition,
      ...version,
      good: isGood,
      members: [...members],
    });
  }
}

function noQuorum(): undefined {
  return undefined;
}
