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

/** Returns the voters that a configuration names, or undefined if it names none. */
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
  /** When a majority had the write on disk; the commit then waits up to `LAST_REPLICA_WAIT_MS` for the remaining voters. */
  majorityAt: Moment | undefined;
}

interface CoordinatedPartition {
  /** The version last written by this leader; undefined until the rewrite in its epoch is committed. */
  written: VersionedBody | undefined;
  readonly readFrom: Set<NodeId>;
  newest: VersionedBody;
  pendingWrite: PendingWrite | undefined;
  queuedWrite: { body: string; tokens: number[] } | undefined;
}

/** Interval at which reads and writes without a reply are sent again. */
const RESEND_INTERVAL_MS = 300;
/** How long a write that a majority has persisted waits for the remaining replicas before it is committed. */
const LAST_REPLICA_WAIT_MS = 60;

/**
 * The leader's side of the replicated state: it reads all partitions from a majority and rewrites them in its epoch; after that
 * it alone writes them.
 */
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
    replica: LocalPartitions,
    effects: StateEffects,
    quorumOf: QuorumOf,
  ) {
    this.#me = me;
    this.#quorum = quorum;
    this.#replica = replica;
    this.#effects = effects;
    this.#quorumOf = quorumOf;
  }

  /** The epoch in which this voter leads; 0 while it does not. */
  get epoch(): number {
    return this.#epoch;
  }
  /** Whether every partition has been rewritten in this epoch. */
  get isServing(): boolean {
    return this.#isServing;
  }
  /** The voters of which a majority is required. */
  get quorum(): Quorum {
    return this.#quorum;
  }

  /** Replaces the voters of which a majority is required. */
  setQuorum(quorum: Quorum): void {
    this.#quorum = quorum;
  }

  /** Starts to lead: reads every partition from a majority and rewrites the newest version in this epoch before it serves. */
  lead(now: Moment, epoch: number): void {
    this.#epoch = epoch;
    this.#isServing = false;
    this.#partitions.clear();
    for (const partition of this.#replica.names) this.#partitions.set(partition, unreadPartition());
    this.#nonce += 1;
    this.#sendReads(now);
  }

  /** Steps down: writes in flight are no longer committed here; the next leader finds out whether a majority has them. */
  stepDown(): void {
    this.#epoch = 0;
    this.#isServing = false;
    this.#partitions.clear();
  }

  /** The body last written by this leader, committed or not; empty while it has not rewritten the partition. */
  body(partition: PartitionName): string {
    return this.#partitions.get(partition)?.written?.body ?? '';
  }

  /** Whether a write of this partition is in flight. */
  isWriting(partition: PartitionName): boolean {
    return this.#partitions.get(partition)?.pendingWrite !== undefined;
  }

  /**
   * Writes a partition. Only one write of a partition is in flight at a time; those requested meanwhile are combined into the
   * next one, with the newest body. Returns the count of the version.
   *
   * @throws Error if this voter does not lead, or the rewrite of the partition in its epoch is not committed.
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

  /** Commits writes whose wait for the last replica is over, and repeats reads and writes without a reply. */
  tick(now: Moment): void {
    if (this.#epoch === 0) return;
    let isReading = false;
    for (const [partition, entry] of this.#partitions) {
      if (!entry.written && !entry.pendingWrite) isReading = true;
      if (entry.pendingWrite) this.#commitOrResend(now, partition, entry, entry.pendingWrite);
    }
    if (isReading && now >= later(this.#lastReadSentAt, RESEND_INTERVAL_MS)) this.#sendReads(now);
  }

  /** Handles the partitions that a voter reports to this leader. */
  onReadReply(now: Moment, from: NodeId, message: ReadReply): void {
    if (message.epoch !== this.#epoch || this.#epoch === 0) return;
    if (message.nonce === this.#nonce) this.#onRead(now, from, message.copies);
  }

  /** Handles the acknowledgement or rejection of a write by a voter. */
  onWriteReply(now: Moment, from: NodeId, message: WriteReply): void {
    if (message.good && message.epoch === this.#epoch)
      this.onAck(now, from, partitionName(message.part), message, message.members);
  }

  /** Records that a voter has persisted this version of a partition. `members` are the members that it knows. */
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

  /** Sends the committed version of a partition to a voter; returns false if none is committed or a write is in flight. */
  repairReplica(to: NodeId, partition: PartitionName): boolean {
    const entry = this.#partitions.get(partition);
    // A write in flight delivers the newest version anyway.
    if (!entry?.written || entry.pendingWrite) return false;
    this.#sendWrite(to, partition, entry.written);
    return true;
  }

  #commitOrResend(
    now: Moment,
    partition: PartitionName,
    entry: CoordinatedPartition,
    pendingWrite: PendingWrite,
  ): void {
    this.#commitIfReplicated(now, partition, entry);
    if (entry.pendingWrite !== pendingWrite || now < later(pendingWrite.sentAt, RESEND_INTERVAL_MS))
      return;
    pendingWrite.sentAt = now;
    for (const peer of this.#quorum.all)
      if (!pendingWrite.acknowledgedBy.has(peer) && peer !== this.#me)
        this.#sendWrite(peer, partition, pendingWrite);
  }

  #sendReads(now: Moment): void {
    this.#lastReadSentAt = now;
    const message = { kind: 'read', epoch: this.#epoch, nonce: this.#nonce } as const;
    for (const peer of this.#quorum.all) {
      if (peer === this.#me) this.#onRead(now, this.#me, this.#replica.toStoredReplicas());
      else this.#effects.send(peer, { ...message, parts: [] });
    }
  }

  #onRead(now: Moment, from: NodeId, copies: readonly StoredReplica[]): void {
    for (const copy of copies) {
      const entry = this.#partitions.get(partitionName(copy.part));
      if (!entry || isRewriteStarted(entry) || !copy.sound) continue;
      entry.readFrom.add(from);
      if (isNewer(copy, entry.newest.version))
        entry.newest = { version: { epoch: copy.epoch, count: copy.count }, body: copy.body };
    }
    this.#rewriteOnceRead(now);
  }

  /**
   * Rewrites all partitions once each has been read from a majority of the voters that the newest configuration names. The
   * voters known here before may have been replaced long ago: with a majority of those, newer writes would be overwritten.
   */
  #rewriteOnceRead(now: Moment): void {
    const entries = [...this.#partitions.values()];
    if (entries.some(isRewriteStarted) || !entries.every(this.#isReadFromMajority, this)) return;
    const config = this.#partitions.get(CONFIG_PARTITION)?.newest;
    const configQuorum = config && this.#quorumOf(config.body);
    if (config && configQuorum && configQuorum.text !== this.#quorum.text) {
      this.#quorum = configQuorum;
      this.#effects.add({ do: 'voters', version: config.version, body: config.body });
      if (!entries.every(this.#isReadFromMajority, this)) return;
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
      const nextVersion = { epoch: this.#epoch, count: version.count + 1 };
      this.#startWrite(
        now,
        partition,
        entry,
        { version: nextVersion, body: queuedWrite.body },
        queuedWrite.tokens,
      );
    }
    this.#serveOnceRewritten();
  }

  #isReplicated(now: Moment, pending: PendingWrite): boolean {
    if (!this.#quorum.isMajority(pending.acknowledgedBy)) return false;
    pending.majorityAt ??= now;
    // The commit briefly waits for the last replica, so that two replicas remain if a disk is lost right after it.
    const isAcknowledgedByAll = this.#quorum.all.every(
      pending.acknowledgedBy.has,
      pending.acknowledgedBy,
    );
    return isAcknowledgedByAll || now >= later(pending.majorityAt, LAST_REPLICA_WAIT_MS);
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

/** Whether the rewrite of a partition is in flight or committed; replies to reads are then ignored. */
function isRewriteStarted(entry: CoordinatedPartition): boolean {
  return entry.written !== undefined || entry.pendingWrite !== undefined;
}
