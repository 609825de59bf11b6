import {
  later,
  moment,
  partitionName,
  type Moment,
  type NodeId,
  type PartitionName,
} from '../common/ids.js';
import type { StoredReplica, MemberVersion, Message } from '../common/messages.js';
import type { Quorum } from '../common/quorum.js';
import { compareVersions, isNewer, NO_VERSION, type Version } from '../common/version.js';
import { CONFIG_PARTITION } from './partition-names.js';
import type { LocalPartitions } from './local-partitions.js';
import type { StateEffects } from './replicated-state-effect.js';

type ReadReply = Extract<Message, { kind: 'readReply' }>;
type WriteReply = Extract<Message, { kind: 'writeReply' }>;

/** Tells which voters a configuration names; nothing where it names none. */
export type QuorumOf = (configBody: string) => Quorum | undefined;

interface VersionedBody {
  readonly version: Version;
  readonly body: string;
}

interface PendingWrite extends VersionedBody {
  readonly tokens: readonly number[];
  readonly acknowledgedBy: Set<NodeId>;
  readonly members: MemberVersion[];
  sentAt: Moment;
  /** When a majority had it; the last voter is then given a moment more. */
  majorityAt: Moment | undefined;
}

interface CoordinatedPartition {
  /** As last written here; nothing before the first write of the epoch is committed. */
  written: VersionedBody | undefined;
  readonly readFrom: Set<NodeId>;
  newest: VersionedBody;
  pendingWrite: PendingWrite | undefined;
  queuedWrite: { body: string; tokens: number[] } | undefined;
}

const RESEND_INTERVAL_MS = 300;
const LAST_REPLICA_WAIT_MS = 60;

/** The parts at the voter that leads: read from a majority and rewritten in its epoch, then written by it alone. */
export class QuorumCoordinator {
  readonly #me: NodeId;
  readonly #replica: LocalPartitions;
  readonly #effects: StateEffects;
  readonly #quorumOf: QuorumOf;
  #quorum: Quorum;
  #epoch = 0;
  readonly #partitions = new Map<PartitionName, CoordinatedPartition>();
  #isServing = false;
  #nonce = 0;
  #lastReadSentAt: Moment = moment(0);

  constructor(
    me: NodeId,
    quorum: Quorum,
    copies: LocalPartitions,
    effects: StateEffects,
    quorumOf: QuorumOf,
  ) {
    this.#me = me;
    this.#quorum = quorum;
    this.#replica = copies;
    this.#effects = effects;
    this.#quorumOf = quorumOf;
  }

  /** The epoch in which this voter owns the parts; 0 while it does not. */
  get epoch(): number {
    return this.#epoch;
  }
  get isServing(): boolean {
    return this.#isServing;
  }
  get quorum(): Quorum {
    return this.#quorum;
  }

  setQuorum(quorum: Quorum): void {
    this.#quorum = quorum;
  }

  /** Begins to own all parts in this epoch: read a majority of each, rewrite the newest, then serve. */
  lead(now: Moment, epoch: number): void {
    this.#epoch = epoch;
    this.#isServing = false;
    this.#partitions.clear();
    for (const partition of this.#replica.names) this.#partitions.set(partition, unreadPartition());
    this.#nonce += 1;
    this.#sendReads(now);
  }

  /** Gives up owning: writes under way get no yes from us any more; whether they hold is for the next owner to find. */
  release(): void {
    this.#epoch = 0;
    this.#isServing = false;
    this.#partitions.clear();
  }

  /** The body as last written here, committed or not. */
  body(partition: PartitionName): string {
    return this.#partitions.get(partition)?.written?.body ?? '';
  }

  /** Whether a write of this part is still without its majority. */
  isWriting(partition: PartitionName): boolean {
    return this.#partitions.get(partition)?.pendingWrite !== undefined;
  }

  /** One write of a part is under way at a time; what comes meanwhile is one next write, of the newest body. Returns its count. */
  write(now: Moment, partition: PartitionName, body: string, token: number): number {
    const owned = this.#partitions.get(partition);
    if (!owned?.written) throw new Error(`${partition} is not owned here`);
    const count = (owned.pendingWrite?.version.count ?? owned.written.version.count) + 1;
    if (owned.pendingWrite)
      owned.queuedWrite = { body, tokens: [...(owned.queuedWrite?.tokens ?? []), token] };
    else
      this.#startWrite(now, partition, owned, { version: { epoch: this.#epoch, count }, body }, [
        token,
      ]);
    owned.written = { version: owned.written.version, body };
    return count;
  }

  tick(now: Moment): void {
    if (this.#epoch === 0) return;
    let isReading = false;
    for (const [partition, owned] of this.#partitions) {
      if (!owned.written && !owned.pendingWrite) isReading = true;
      if (owned.pendingWrite) this.#resendIfDue(now, partition, owned, owned.pendingWrite);
    }
    if (isReading && now >= later(this.#lastReadSentAt, RESEND_INTERVAL_MS)) this.#sendReads(now);
  }

  onReadReply(now: Moment, from: NodeId, message: ReadReply): void {
    if (message.epoch !== this.#epoch || this.#epoch === 0) return;
    if (message.nonce === this.#nonce) this.#onRead(now, from, message.copies);
  }

  onWriteReply(now: Moment, from: NodeId, message: WriteReply): void {
    if (message.good && message.epoch === this.#epoch)
      this.onAck(now, from, partitionName(message.part), message, message.members);
  }

  /** A voter has this version of a part on its disk. */
  onAck(
    now: Moment,
    from: NodeId,
    partition: PartitionName,
    version: Version,
    members: readonly MemberVersion[],
  ): void {
    const owned = this.#partitions.get(partition);
    const writing = owned?.pendingWrite;
    if (!owned || !writing || compareVersions(writing.version, version) !== 0) return;
    writing.acknowledgedBy.add(from);
    writing.members.push(...members);
    this.#commitIfReplicated(now, partition, owned);
  }

  /** Sends a voter the committed copy of a part; says whether it did. */
  repairReplica(to: NodeId, partition: PartitionName): boolean {
    const owned = this.#partitions.get(partition);
    // A write under way brings the newest by itself.
    if (!owned?.written || owned.pendingWrite) return false;
    this.#sendWrite(to, partition, owned.written);
    return true;
  }

  #resendIfDue(
    now: Moment,
    partition: PartitionName,
    owned: CoordinatedPartition,
    writing: PendingWrite,
  ): void {
    this.#commitIfReplicated(now, partition, owned);
    if (owned.pendingWrite !== writing || now < later(writing.sentAt, RESEND_INTERVAL_MS)) return;
    writing.sentAt = now;
    for (const peer of this.#quorum.all)
      if (!writing.acknowledgedBy.has(peer) && peer !== this.#me)
        this.#sendWrite(peer, partition, writing);
  }

  #sendReads(now: Moment): void {
    this.#lastReadSentAt = now;
    const message = { kind: 'read', epoch: this.#epoch, nonce: this.#nonce } as const;
    for (const peer of this.#quorum.all) {
      if (peer === this.#me) this.#onRead(now, this.#me, this.#replica.toMessages());
      else this.#effects.send(peer, { ...message, parts: [] });
    }
  }

  #onRead(now: Moment, from: NodeId, copies: readonly StoredReplica[]): void {
    for (const item of copies) {
      const owned = this.#partitions.get(partitionName(item.part));
      if (!owned || isRead(owned) || !item.sound) continue;
      owned.readFrom.add(from);
      if (isNewer(item, owned.newest.version))
        owned.newest = { version: { epoch: item.epoch, count: item.count }, body: item.body };
    }
    this.#rewriteOnceRead(now);
  }

  /**
   * Rewrites all parts once each was read from a majority of the voters that the newest configuration read names. A
   * majority of the voters known here before may have taken part in nothing for long: what newer ones decided would be
   * written over.
   */
  #rewriteOnceRead(now: Moment): void {
    const owners = [...this.#partitions.values()];
    if (owners.some(isRead) || !owners.every(this.#isReadFromMajority, this)) return;
    const config = this.#partitions.get(CONFIG_PARTITION)?.newest;
    const named = config && this.#quorumOf(config.body);
    if (config && named && named.text !== this.#quorum.text) {
      this.#quorum = named;
      this.#effects.add({ do: 'voters', version: config.version, body: config.body });
      if (!owners.every(this.#isReadFromMajority, this)) return;
    }
    for (const [partition, owned] of this.#partitions) {
      const version = { epoch: this.#epoch, count: owned.newest.version.count + 1 };
      this.#startWrite(now, partition, owned, { version, body: owned.newest.body }, []);
    }
  }

  #isReadFromMajority(owned: CoordinatedPartition): boolean {
    return this.#quorum.isMajority(owned.readFrom);
  }

  #startWrite(
    now: Moment,
    partition: PartitionName,
    owned: CoordinatedPartition,
    { version, body }: VersionedBody,
    tokens: readonly number[],
  ): void {
    const writing: PendingWrite = {
      version,
      body,
      tokens,
      acknowledgedBy: new Set(),
      members: [],
      sentAt: now,
      majorityAt: undefined,
    };
    owned.pendingWrite = writing;
    for (const peer of this.#quorum.all) {
      if (peer === this.#me) this.#replica.store(partition, version, body);
      else this.#sendWrite(peer, partition, writing);
    }
  }

  #sendWrite(to: NodeId, partition: PartitionName, { version, body }: VersionedBody): void {
    this.#effects.send(to, { kind: 'write', part: partition, ...version, body });
  }

  #commitIfReplicated(now: Moment, partition: PartitionName, owned: CoordinatedPartition): void {
    const { pendingWrite } = owned;
    if (!pendingWrite || !this.#isReplicated(now, pendingWrite)) return;
    const { version, body, tokens, members } = pendingWrite;
    const { queuedWrite } = owned;
    owned.pendingWrite = undefined;
    owned.queuedWrite = undefined;
    owned.written = { version, body: queuedWrite?.body ?? body };
    this.#effects.add({ do: 'committed', partition, version, body, tokens, members });
    if (queuedWrite) {
      const following = { epoch: this.#epoch, count: version.count + 1 };
      this.#startWrite(
        now,
        partition,
        owned,
        { version: following, body: queuedWrite.body },
        queuedWrite.tokens,
      );
    }
    this.#serveOnceRewritten();
  }

  #isReplicated(now: Moment, writing: PendingWrite): boolean {
    if (!this.#quorum.isMajority(writing.acknowledgedBy)) return false;
    writing.majorityAt ??= now;
    // The yes waits a moment for the last copy, so that a disk lost right after it still leaves two.
    const isAll = this.#quorum.all.every(writing.acknowledgedBy.has, writing.acknowledgedBy);
    return isAll || now >= later(writing.majorityAt, LAST_REPLICA_WAIT_MS);
  }

  #serveOnceRewritten(): void {
    if (this.#isServing || ![...this.#partitions.values()].every(isRewritten)) return;
    this.#isServing = true;
    this.#effects.add({ do: 'serving' });
  }
}

function unreadPartition(): CoordinatedPartition {
  return {
    written: undefined,
    readFrom: new Set(),
    newest: { version: NO_VERSION, body: '' },
    pendingWrite: undefined,
    queuedWrite: undefined,
  };
}

function isRewritten(owned: CoordinatedPartition): boolean {
  return owned.written !== undefined;
}

/** Whether a part was read and is being rewritten, or was. */
function isRead(owned: CoordinatedPartition): boolean {
  return owned.written !== undefined || owned.pendingWrite !== undefined;
}
