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

/** The voters that a configuration names; undefined where it names none. */
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
  /** When a majority had it on disk; the last voter is then waited for a little longer. */
  majorityAt: Moment | undefined;
}

interface CoordinatedPartition {
  /** As last written here; undefined until the rewrite of the epoch is committed. */
  written: VersionedBody | undefined;
  readonly readFrom: Set<NodeId>;
  newest: VersionedBody;
  pendingWrite: PendingWrite | undefined;
  queuedWrite: { body: string; tokens: number[] } | undefined;
}

/** Reads and writes that were not answered are sent again after so long. */
const RESEND_INTERVAL_MS = 300;
/** How long a write that a majority has waits for the remaining replicas before it is committed. */
const LAST_REPLICA_WAIT_MS = 60;

/** The leader's side of the replicated state: partitions are read from a majority and rewritten in its epoch, then written by it alone. */
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

  /** The epoch in which this voter leads; 0 while it does not. */
  get epoch(): number {
    return this.#epoch;
  }
  /** Whether every partition was rewritten in this epoch. */
  get isServing(): boolean {
    return this.#isServing;
  }
  /** The voters whose majorities count. */
  get quorum(): Quorum {
    return this.#quorum;
  }

  /** Counts majorities of these voters from now on. */
  setQuorum(quorum: Quorum): void {
    this.#quorum = quorum;
  }

  /** Begins to lead: reads every partition from a majority and rewrites the newest in this epoch; then it serves. */
  lead(now: Moment, epoch: number): void {
    this.#epoch = epoch;
    this.#isServing = false;
    this.#partitions.clear();
    for (const partition of this.#replica.names) this.#partitions.set(partition, unreadPartition());
    this.#nonce += 1;
    this.#sendReads(now);
  }

  /** Stops leading: writes in flight are no longer committed here; the next leader finds out whether a majority has them. */
  release(): void {
    this.#epoch = 0;
    this.#isServing = false;
    this.#partitions.clear();
  }

  /** The body as last written here, committed or not. */
  body(partition: PartitionName): string {
    return this.#partitions.get(partition)?.written?.body ?? '';
  }

  /** Whether a write of this partition is not committed yet. */
  isWriting(partition: PartitionName): boolean {
    return this.#partitions.get(partition)?.pendingWrite !== undefined;
  }

  /**
   * Writes a partition. One write of a partition is in flight at a time, and those that come meanwhile are joined into the
   * next one, of the newest body. Returns the count of its version; throws if the partition was not read as leader yet.
   */
  write(now: Moment, partition: PartitionName, body: string, token: number): number {
    const entry = this.#partitions.get(partition);
    if (!entry?.written) throw new Error(`${partition} is not owned here`);
    const count = (entry.pendingWrite?.version.count ?? entry.written.version.count) + 1;
    if (entry.pendingWrite)
      entry.queuedWrite = { body, tokens: [...(entry.queuedWrite?.tokens ?? []), token] };
    else
      this.#startWrite(now, partition, entry, { version: { epoch: this.#epoch, count }, body }, [
        token,
      ]);
    entry.written = { version: entry.written.version, body };
    return count;
  }

  tick(now: Moment): void {
    if (this.#epoch === 0) return;
    let isReading = false;
    for (const [partition, entry] of this.#partitions) {
      if (!entry.written && !entry.pendingWrite) isReading = true;
      if (entry.pendingWrite) this.#resendIfDue(now, partition, entry, entry.pendingWrite);
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

  /** A voter has this version of a partition on its disk. */
  onAck(
    now: Moment,
    from: NodeId,
    partition: PartitionName,
    version: Version,
    members: readonly MemberVersion[],
  ): void {
    const entry = this.#partitions.get(partition);
    const pending = entry?.pendingWrite;
    if (!entry || !pending || compareVersions(pending.version, version) !== 0) return;
    pending.acknowledgedBy.add(from);
    pending.members.push(...members);
    this.#commitIfReplicated(now, partition, entry);
  }

  /** Sends a voter the committed version of a partition; returns whether it did. */
  repairReplica(to: NodeId, partition: PartitionName): boolean {
    const entry = this.#partitions.get(partition);
    // A write in flight brings the newest version by itself.
    if (!entry?.written || entry.pendingWrite) return false;
    this.#sendWrite(to, partition, entry.written);
    return true;
  }

  #resendIfDue(
    now: Moment,
    partition: PartitionName,
    entry: CoordinatedPartition,
    pending: PendingWrite,
  ): void {
    this.#commitIfReplicated(now, partition, entry);
    if (entry.pendingWrite !== pending || now < later(pending.sentAt, RESEND_INTERVAL_MS)) return;
    pending.sentAt = now;
    for (const peer of this.#quorum.all)
      if (!pending.acknowledgedBy.has(peer) && peer !== this.#me)
        this.#sendWrite(peer, partition, pending);
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
      const entry = this.#partitions.get(partitionName(item.part));
      if (!entry || isRead(entry) || !item.sound) continue;
      entry.readFrom.add(from);
      if (isNewer(item, entry.newest.version))
        entry.newest = { version: { epoch: item.epoch, count: item.count }, body: item.body };
    }
    this.#rewriteOnceRead(now);
  }

  /**
   * Rewrites all partitions once each was read from a majority of the voters that the newest configuration names. The voters
   * known here before may have been replaced long ago: by a majority of those, newer writes would be overwritten.
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
    for (const [partition, entry] of this.#partitions) {
      const version = { epoch: this.#epoch, count: entry.newest.version.count + 1 };
      this.#startWrite(now, partition, entry, { version, body: entry.newest.body }, []);
    }
  }

  #isReadFromMajority(entry: CoordinatedPartition): boolean {
    return this.#quorum.isMajority(entry.readFrom);
  }

  #startWrite(
    now: Moment,
    partition: PartitionName,
    entry: CoordinatedPartition,
    { version, body }: VersionedBody,
    tokens: readonly number[],
  ): void {
    const pending: PendingWrite = {
      version,
      body,
      tokens,
      acknowledgedBy: new Set(),
      members: [],
      sentAt: now,
      majorityAt: undefined,
    };
    entry.pendingWrite = pending;
    for (const peer of this.#quorum.all) {
      if (peer === this.#me) this.#replica.store(partition, version, body);
      else this.#sendWrite(peer, partition, pending);
    }
  }

  #sendWrite(to: NodeId, partition: PartitionName, { version, body }: VersionedBody): void {
    this.#effects.send(to, { kind: 'write', part: partition, ...version, body });
  }

  #commitIfReplicated(now: Moment, partition: PartitionName, entry: CoordinatedPartition): void {
    const { pendingWrite } = entry;
    if (!pendingWrite || !this.#isReplicated(now, pendingWrite)) return;
    const { version, body, tokens, members } = pendingWrite;
    const { queuedWrite } = entry;
    entry.pendingWrite = undefined;
    entry.queuedWrite = undefined;
    entry.written = { version, body: queuedWrite?.body ?? body };
    this.#effects.add({ do: 'committed', partition, version, body, tokens, members });
    if (queuedWrite) {
      const following = { epoch: this.#epoch, count: version.count + 1 };
      this.#startWrite(
        now,
        partition,
        entry,
        { version: following, body: queuedWrite.body },
        queuedWrite.tokens,
      );
    }
    this.#serveOnceRewritten();
  }

  #isReplicated(now: Moment, pending: PendingWrite): boolean {
    if (!this.#quorum.isMajority(pending.acknowledgedBy)) return false;
    pending.majorityAt ??= now;
    // The commit waits a little for the last replica, so that two are left if a disk is lost right after it.
    const isAll = this.#quorum.all.every(pending.acknowledgedBy.has, pending.acknowledgedBy);
    return isAll || now >= later(pending.majorityAt, LAST_REPLICA_WAIT_MS);
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

function isRewritten(entry: CoordinatedPartition): boolean {
  return entry.written !== undefined;
}

/** Whether a partition was read, and its rewrite is in flight or committed. */
function isRead(entry: CoordinatedPartition): boolean {
  return entry.written !== undefined || entry.pendingWrite !== undefined;
}
