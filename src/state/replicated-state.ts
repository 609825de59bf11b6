import { partitionName, type Moment, type NodeId, type PartitionName } from '../common/ids.js';
import type { StoredReplica, MemberVersion, Message } from '../common/messages.js';
import type { Quorum } from '../common/quorum.js';
import { compareVersions, NO_VERSION, type Version } from '../common/version.js';
import { CopyMending } from './copy-mending.js';
import { ReplicaCopies } from './replica-copies.js';
import { StateEffects, type ReplicatedStateEffect } from './replicated-state-effect.js';
import { StateOwner, type QuorumOf } from './state-owner.js';
import type { StoredPartition } from './store.js';

export type { ReplicatedStateEffect } from './replicated-state-effect.js';

type ReadMessage = Extract<Message, { kind: 'read' }>;
type WriteMessage = Extract<Message, { kind: 'write' }>;

/** A write that is answered once it is on disk. */
interface DueReply {
  readonly to: NodeId;
  readonly version: Version;
  readonly members: readonly MemberVersion[];
}

/**
 * The parts of the shared state at one voter: replica of all, and owner of all while it leads.
 * Each part has its own versions, writes and files; nothing orders one part against another.
 */
export class ReplicatedState {
  readonly #me: NodeId;
  readonly #effects = new StateEffects();
  readonly #copies: ReplicaCopies;
  readonly #owner: StateOwner;
  readonly #mending: CopyMending;
  readonly #replies = new Map<PartitionName, DueReply>();
  /** The last version of each part that reached the disk in this life. */
  readonly #stored = new Map<PartitionName, Version>();

  constructor(
    me: NodeId,
    quorum: Quorum,
    names: readonly PartitionName[],
    stored: readonly StoredPartition[],
    quorumOf: QuorumOf = namesNobody,
  ) {
    this.#me = me;
    this.#copies = new ReplicaCopies(names, stored, this.#effects);
    this.#owner = new StateOwner(me, quorum, this.#copies, this.#effects, quorumOf);
    this.#mending = new CopyMending(me, this.#copies, this.#owner, this.#effects);
  }

  /** Whether every part was read from a majority and rewritten in the epoch that is owned here. */
  get isServing(): boolean {
    return this.#owner.isServing;
  }
  /** How many copies at other voters were found different and sent anew. */
  get mends(): number {
    return this.#mending.mends;
  }

  setQuorum(quorum: Quorum): void {
    this.#owner.setQuorum(quorum);
  }

  drain(): ReplicatedStateEffect[] {
    return this.#effects.drain();
  }

  /** The version of this voter's own copy. */
  versionOf(partition: PartitionName): Version {
    return this.#copies.of(partition)?.version ?? NO_VERSION;
  }

  /** The body of this voter's own copy. */
  replicaBody(partition: PartitionName): string {
    return this.#copies.of(partition)?.body ?? '';
  }

  corruptPartitions(): readonly PartitionName[] {
    return this.#copies.corruptPartitions();
  }

  copies(): StoredReplica[] {
    return this.#copies.list();
  }

  /** Takes copies read while being repaired, and returns the parts that must reach the disk before the voter counts again. */
  adopt(copies: readonly StoredReplica[]): ReadonlySet<PartitionName> {
    return this.#copies.adopt(copies);
  }

  // ---- owner

  /** Begins to own all parts in this epoch: read a majority of each, rewrite the newest, then serve. */
  lead(now: Moment, epoch: number): void {
    this.#owner.lead(now, epoch);
  }

  /** Gives up owning. What was decided and not yet taken up is dropped, since it would be taken up without the lead. */
  release(): void {
    this.#owner.release();
    this.#effects.dropOwners();
  }

  /** The body as last written here, committed or not. */
  body(partition: PartitionName): string {
    return this.#owner.body(partition);
  }

  /** Whether a write of this part is still without its majority. */
  isWriting(partition: PartitionName): boolean {
    return this.#owner.isWriting(partition);
  }

  /** One write of a part is under way at a time; what comes meanwhile is one next write, of the newest body. Returns its count. */
  write(now: Moment, partition: PartitionName, body: string, token: number): number {
    return this.#owner.write(now, partition, body, token);
  }

  tick(now: Moment): void {
    this.#owner.tick(now);
    this.#mending.tick(now);
  }

  // ---- replica

  /** `granted` is the epoch this voter has granted, synced, and not moved on from; 0 if none. */
  receive(
    now: Moment,
    from: NodeId,
    message: Message,
    granted: number,
    members: readonly MemberVersion[],
    standing: string,
  ): void {
    switch (message.kind) {
      case 'write':
        this.#receiveWrite(from, message, granted, members);
        break;
      case 'writeReply':
        this.#owner.receiveWriteReply(now, from, message);
        break;
      case 'read':
        this.#receiveRead(from, message, granted, standing);
        break;
      case 'readReply':
        this.#owner.receiveReadReply(now, from, message);
        break;
      case 'digest':
        this.#mending.receiveDigest(from, message);
        break;
      case 'digestReply':
        this.#mending.receiveReply(from, message);
        break;
      default:
        break;
    }
  }

  /** Told when a version has reached the disk. */
  stored(partition: PartitionName, version: Version, granted: number, now?: Moment): void {
    this.#stored.set(partition, version);
    // Said only while that epoch still stands here: a newer leader may have read us before this write was kept.
    if (version.epoch !== granted) return;
    if (this.#owner.epoch === version.epoch && now !== undefined) {
      this.#owner.ack(now, this.#me, partition, version, []);
      return;
    }
    const due = this.#replies.get(partition);
    if (due && compareVersions(due.version, version) === 0)
      this.#replyTo(due.to, partition, version, true, due.members);
  }

  #receiveRead(from: NodeId, message: ReadMessage, granted: number, standing: string): void {
    if (message.epoch !== granted || granted === 0) return;
    this.#effects.send(from, {
      kind: 'readReply',
      epoch: granted,
      nonce: message.nonce,
      sound: true,
      copies: this.copies(),
      standing,
    });
  }

  #receiveWrite(
    from: NodeId,
    message: WriteMessage,
    granted: number,
    members: readonly MemberVersion[],
  ): void {
    const partition = partitionName(message.part);
    const copy = this.#copies.of(partition);
    const version = { epoch: message.epoch, count: message.count };
    // An older epoch's write is turned away; one of an epoch not granted here yet comes again after our grant.
    if (!copy || message.epoch !== granted || compareVersions(version, copy.version) < 0) {
      this.#replyTo(from, partition, version, false, []);
      return;
    }
    const isKnown = compareVersions(version, copy.version) === 0 && copy.isSound;
    this.#copies.put(partition, version, message.body);
    this.#replies.set(partition, { to: from, version, members });
    if (isKnown && this.#isStored(partition, version)) this.stored(partition, version, granted);
    else this.#effects.store(partition, version, message.body);
  }

  #isStored(partition: PartitionName, version: Version): boolean {
    const stored = this.#stored.get(partition);
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

function namesNobody(): undefined {
  return undefined;
}
