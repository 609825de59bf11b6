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
import type { ReplicaCopies } from './replica-copies.js';
import type { StateEffects } from './replicated-state-effect.js';

type ReadReply = Extract<Message, { kind: 'readReply' }>;
type WriteReply = Extract<Message, { kind: 'writeReply' }>;

/** Tells which voters a configuration names; nothing where it names none. */
export type QuorumOf = (configBody: string) => Quorum | undefined;

interface VersionedBody {
  readonly version: Version;
  readonly body: string;
}

interface Write extends VersionedBody {
  readonly tokens: readonly number[];
  readonly acked: Set<NodeId>;
  readonly members: MemberVersion[];
  sentAt: Moment;
  /** When a majority had it; the last voter is then given a moment more. */
  majorityAt: Moment | undefined;
}

interface Owned {
  /** As last written here; nothing before the first write of the epoch is committed. */
  copy: VersionedBody | undefined;
  readonly read: Set<NodeId>;
  newest: VersionedBody;
  writing: Write | undefined;
  next: { body: string; tokens: number[] } | undefined;
}

const RESEND_MS = 300;
const PROMPT_MS = 60;

/** The parts at the voter that leads: read from a majority and rewritten in its epoch, then written by it alone. */
export class StateOwner {
  readonly #me: NodeId;
  readonly #copies: ReplicaCopies;
  readonly #effects: StateEffects;
  readonly #quorumOf: QuorumOf;
  #quorum: Quorum;
  #epoch = 0;
  readonly #owned = new Map<PartitionName, Owned>();
  #isServing = false;
  #nonce = 0;
  #readSentAt: Moment = moment(0);

  constructor(
    me: NodeId,
    quorum: Quorum,
    copies: ReplicaCopies,
    effects: StateEffects,
    quorumOf: QuorumOf,
  ) {
    this.#me = me;
    this.#quorum = quorum;
    this.#copies = copies;
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
    this.#owned.clear();
    for (const partition of this.#copies.names) this.#owned.set(partition, newlyOwned());
    this.#nonce += 1;
    this.#askAll(now);
  }

  /** Gives up owning: writes under way get no yes from us any more; whether they hold is for the next owner to find. */
  release(): void {
    this.#epoch = 0;
    this.#isServing = false;
    this.#owned.clear();
  }

  /** The body as last written here, committed or not. */
  body(partition: PartitionName): string {
    return this.#owned.get(partition)?.copy?.body ?? '';
  }

  /** Whether a write of this part is still without its majority. */
  isWriting(partition: PartitionName): boolean {
    return this.#owned.get(partition)?.writing !== undefined;
  }

  /** One write of a part is under way at a time; what comes meanwhile is one next write, of the newest body. Returns its count. */
  write(now: Moment, partition: PartitionName, body: string, token: number): number {
    const owned = this.#owned.get(partition);
    if (!owned?.copy) throw new Error(`${partition} is not owned here`);
    const count = (owned.writing?.version.count ?? owned.copy.version.count) + 1;
    if (owned.writing) owned.next = { body, tokens: [...(owned.next?.tokens ?? []), token] };
    else
      this.#send(now, partition, owned, { version: { epoch: this.#epoch, count }, body }, [token]);
    owned.copy = { version: owned.copy.version, body };
    return count;
  }

  tick(now: Moment): void {
    if (this.#epoch === 0) return;
    let isReading = false;
    for (const [partition, owned] of this.#owned) {
      if (!owned.copy && !owned.writing) isReading = true;
      if (owned.writing) this.#tickWrite(now, partition, owned, owned.writing);
    }
    if (isReading && now >= later(this.#readSentAt, RESEND_MS)) this.#askAll(now);
  }

  receiveReadReply(now: Moment, from: NodeId, message: ReadReply): void {
    if (message.epoch !== this.#epoch || this.#epoch === 0) return;
    if (message.nonce === this.#nonce) this.#takeRead(now, from, message.copies);
  }

  receiveWriteReply(now: Moment, from: NodeId, message: WriteReply): void {
    if (message.good && message.epoch === this.#epoch)
      this.ack(now, from, partitionName(message.part), message, message.members);
  }

  /** A voter has this version of a part on its disk. */
  ack(
    now: Moment,
    from: NodeId,
    partition: PartitionName,
    version: Version,
    members: readonly MemberVersion[],
  ): void {
    const owned = this.#owned.get(partition);
    const writing = owned?.writing;
    if (!owned || !writing || compareVersions(writing.version, version) !== 0) return;
    writing.acked.add(from);
    writing.members.push(...members);
    this.#settle(now, partition, owned);
  }

  /** Sends a voter the committed copy of a part; says whether it did. */
  sendCopy(to: NodeId, partition: PartitionName): boolean {
    const owned = this.#owned.get(partition);
    // A write under way brings the newest by itself.
    if (!owned?.copy || owned.writing) return false;
    this.#sendWrite(to, partition, owned.copy);
    return true;
  }

  #tickWrite(now: Moment, partition: PartitionName, owned: Owned, writing: Write): void {
    this.#settle(now, partition, owned);
    if (owned.writing !== writing || now < later(writing.sentAt, RESEND_MS)) return;
    writing.sentAt = now;
    for (const peer of this.#quorum.all)
      if (!writing.acked.has(peer) && peer !== this.#me) this.#sendWrite(peer, partition, writing);
  }

  #askAll(now: Moment): void {
    this.#readSentAt = now;
    const message = { kind: 'read', epoch: this.#epoch, nonce: this.#nonce } as const;
    for (const peer of this.#quorum.all) {
      if (peer === this.#me) this.#takeRead(now, this.#me, this.#copies.list());
      else this.#effects.send(peer, { ...message, parts: [] });
    }
  }

  #takeRead(now: Moment, from: NodeId, copies: readonly StoredReplica[]): void {
    for (const item of copies) {
      const owned = this.#owned.get(partitionName(item.part));
      if (!owned || isRead(owned) || !item.sound) continue;
      owned.read.add(from);
      if (isNewer(item, owned.newest.version))
        owned.newest = { version: { epoch: item.epoch, count: item.count }, body: item.body };
    }
    this.#endReading(now);
  }

  /**
   * Rewrites all parts once each was read from a majority of the voters that the newest configuration read names. A
   * majority of the voters known here before may have taken part in nothing for long: what newer ones decided would be
   * written over.
   */
  #endReading(now: Moment): void {
    const owners = [...this.#owned.values()];
    if (owners.some(isRead) || !owners.every(this.#isReadByMost, this)) return;
    const config = this.#owned.get(CONFIG_PARTITION)?.newest;
    const named = config && this.#quorumOf(config.body);
    if (config && named && named.text !== this.#quorum.text) {
      this.#quorum = named;
      this.#effects.add({ do: 'voters', version: config.version, body: config.body });
      if (!owners.every(this.#isReadByMost, this)) return;
    }
    for (const [partition, owned] of this.#owned) {
      const version = { epoch: this.#epoch, count: owned.newest.version.count + 1 };
      this.#send(now, partition, owned, { version, body: owned.newest.body }, []);
    }
  }

  #isReadByMost(owned: Owned): boolean {
    return this.#quorum.isMajority(owned.read);
  }

  #send(
    now: Moment,
    partition: PartitionName,
    owned: Owned,
    { version, body }: VersionedBody,
    tokens: readonly number[],
  ): void {
    const writing: Write = {
      version,
      body,
      tokens,
      acked: new Set(),
      members: [],
      sentAt: now,
      majorityAt: undefined,
    };
    owned.writing = writing;
    for (const peer of this.#quorum.all) {
      if (peer === this.#me) this.#copies.store(partition, version, body);
      else this.#sendWrite(peer, partition, writing);
    }
  }

  #sendWrite(to: NodeId, partition: PartitionName, { version, body }: VersionedBody): void {
    this.#effects.send(to, { kind: 'write', part: partition, ...version, body });
  }

  #settle(now: Moment, partition: PartitionName, owned: Owned): void {
    const { writing } = owned;
    if (!writing || !this.#isHeld(now, writing)) return;
    const { version, body, tokens, members } = writing;
    const { next } = owned;
    owned.writing = undefined;
    owned.next = undefined;
    owned.copy = { version, body: next?.body ?? body };
    this.#effects.add({ do: 'committed', partition, version, body, tokens, members });
    if (next) {
      const following = { epoch: this.#epoch, count: version.count + 1 };
      this.#send(now, partition, owned, { version: following, body: next.body }, next.tokens);
    }
    this.#serveIfOwned();
  }

  #isHeld(now: Moment, writing: Write): boolean {
    if (!this.#quorum.isMajority(writing.acked)) return false;
    writing.majorityAt ??= now;
    // The yes waits a moment for the last copy, so that a disk lost right after it still leaves two.
    const isAll = this.#quorum.all.every(writing.acked.has, writing.acked);
    return isAll || now >= later(writing.majorityAt, PROMPT_MS);
  }

  #serveIfOwned(): void {
    if (this.#isServing || ![...this.#owned.values()].every(isOwned)) return;
    this.#isServing = true;
    this.#effects.add({ do: 'serving' });
  }
}

function newlyOwned(): Owned {
  return {
    copy: undefined,
    read: new Set(),
    newest: { version: NO_VERSION, body: '' },
    writing: undefined,
    next: undefined,
  };
}

function isOwned(owned: Owned): boolean {
  return owned.copy !== undefined;
}

/** Whether a part was read and is being rewritten, or was. */
function isRead(owned: Owned): boolean {
  return owned.copy !== undefined || owned.writing !== undefined;
}
