import { later, type NodeId, type Moment } from '../common/ids.js';
import type { StoredReplica, Message } from '../common/messages.js';
import type { Quorum } from '../common/quorum.js';
import { isNewer, NO_VERSION, type Version } from '../common/version.js';
import { CONFIG_PARTITION } from './partition-names.js';

/** Whether this replica may vote and count in majorities. The words are those of the messages. */
export type ReplicaStatusName =
  /** The data folder is empty. */
  | 'blank'
  /** The record of this replica's votes is unreadable. */
  | 'lost'
  /** Healthy: it may vote and count. */
  | 'sound';

/** What a peer answered about its own replica. */
interface RepairReply {
  readonly standing: string;
  readonly epoch: number;
  readonly copies: readonly StoredReplica[];
}

/** How a replica that did not count may begin to. */
export type ReplicaStatusOutcome =
  /** It forms a new cluster with blank peers, above the newest epoch that agents and proxies know: they accept no older one. */
  | { readonly become: 'founded'; readonly epoch: number }
  /** It takes over the newest of these replicas, and takes part again above this epoch. */
  | {
      readonly become: 'repaired';
      readonly epoch: number;
      readonly copies: readonly StoredReplica[];
    };

type ReadReply = Extract<Message, { kind: 'readReply' }>;

interface Send {
  readonly to: NodeId;
  readonly message: Message;
}

/** Delay before an unanswered request is repeated; it doubles each time, up to MAX_REQUEST_DELAY_MS. */
const MIN_REQUEST_DELAY_MS = 100;
const MAX_REQUEST_DELAY_MS = 800;
/** Delay before a peer that answered, but is not healthy itself, is asked again. */
const BLANK_REQUEST_DELAY_MS = 200;

/**
 * Decides when a replica that lost its disk, or never had data, may vote and count: by forming a new cluster with blank
 * peers, or by reading the replicas of every majority that it may have been part of. Until then it neither grants votes
 * nor acknowledges writes.
 */
export class ReplicaStatus {
  readonly #me: NodeId;
  #name: ReplicaStatusName;
  /** Nonces above this one were given out in this incarnation; replies to any of them count. */
  readonly #firstNonce: number;
  #nonce: number;
  readonly #startedAt: Moment;
  /** How long after its start a blank replica waits before it forms a new cluster, in milliseconds. */
  readonly #foundMs: number;
  readonly #replies = new Map<NodeId, RepairReply>();
  readonly #requests = new Map<
    NodeId,
    { readonly nextRequestAt: Moment; readonly delayMs: number }
  >();
  readonly #quorumOf: (configBody: string) => Quorum | undefined;
  #memberEpoch = 0;
  #isNewClusterForced = false;
  readonly #mayFound: boolean;

  constructor(
    me: NodeId,
    name: ReplicaStatusName,
    now: Moment,
    foundMs: number,
    incarnation: number,
    mayFound: boolean = true,
    quorumOf: (configBody: string) => Quorum | undefined = namesNobody,
  ) {
    this.#me = me;
    this.#name = name;
    this.#startedAt = now;
    this.#foundMs = foundMs;
    this.#firstNonce = incarnation;
    this.#nonce = incarnation;
    this.#mayFound = mayFound;
    this.#quorumOf = quorumOf;
  }

  /** The present status. */
  get name(): ReplicaStatusName {
    return this.#name;
  }
  /** Whether an agent or proxy is known that has a configuration of an earlier cluster. */
  get hasMemberEpoch(): boolean {
    return this.#memberEpoch > 0;
  }

  /** An agent or proxy has a configuration of this epoch: the cluster that wrote it must not be replaced unasked. */
  onMemberEpoch(epoch: number): void {
    this.#memberEpoch = Math.max(this.#memberEpoch, epoch);
  }

  /** An operator declares that no better replica is left: forms a new cluster from what was read. */
  forceNewCluster(): void {
    this.#isNewClusterForced = true;
  }

  /** The replica has become healthy: what was decided is on its disk. */
  resolve(): void {
    this.#name = 'sound';
    this.#replies.clear();
  }

  /** The requests that are due now, to the voters known here and to those that the newest configuration read so far names. */
  tick(now: Moment, quorum: Quorum): Send[] {
    if (this.#name === 'sound') return [];
    const peers = new Set([...quorum.all, ...(this.#votersOfNewestConfig()?.all ?? [])]);
    peers.delete(this.#me);
    const due = [...peers].filter((peer) => this.#isRequestDue(now, peer));
    if (due.length === 0) return [];
    this.#nonce += 1;
    const sends: Send[] = [];
    for (const peer of due) {
      sends.push({
        to: peer,
        message: { kind: 'read', epoch: 0, nonce: this.#nonce, parts: [] },
      });
      const waitMs = Math.min(
        MAX_REQUEST_DELAY_MS,
        (this.#requests.get(peer)?.delayMs ?? MIN_REQUEST_DELAY_MS / 2) * 2,
      );
      this.#requests.set(peer, { nextRequestAt: later(now, waitMs), delayMs: waitMs });
    }
    return sends;
  }

  #isRequestDue(now: Moment, peer: NodeId): boolean {
    // One reply of a healthy peer is enough: no write has been acknowledged by us since we started.
    if (this.#replies.get(peer)?.standing === 'sound') return false;
    const request = this.#requests.get(peer);
    return request === undefined || now >= request.nextRequestAt;
  }

  /** The reply to a replica that reads ours in order to be repaired. */
  replyTo(nonce: number, epoch: number, copies: StoredReplica[], hasGranted: boolean): Message {
    // A healthy replica that never granted a vote and stores nothing does not stop blank peers from forming the cluster.
    const isFresh = this.#name === 'sound' && !hasGranted && copies.every(isEmpty);
    // A blank replica reports its members' epoch, so that a peer without members does not form a new cluster over it.
    return {
      kind: 'readReply',
      epoch: this.#name === 'blank' ? this.#memberEpoch : epoch,
      nonce,
      sound: false,
      copies: this.#name === 'sound' ? copies : [],
      standing: isFresh ? 'fresh' : this.#name,
    };
  }

  /** A peer answered a request of `tick`; returns how this replica may begin to count, once it may. */
  onReadReply(
    now: Moment,
    from: NodeId,
    message: ReadReply,
    quorum: Quorum,
  ): ReplicaStatusOutcome | undefined {
    if (this.#name === 'sound' || !this.#isReplyToUs(message)) return undefined;
    if (message.standing === 'blank') this.onMemberEpoch(message.epoch);
    // The first reply of a healthy peer is kept; later ones add nothing.
    if (this.#replies.get(from)?.standing !== 'sound') {
      const { standing, epoch, copies } = message;
      this.#replies.set(from, { standing, epoch, copies });
      this.#requests.set(from, {
        nextRequestAt: later(now, BLANK_REQUEST_DELAY_MS),
        delayMs: BLANK_REQUEST_DELAY_MS,
      });
    }
    return this.outcome(now, quorum);
  }

  /** A reply to any request of this incarnation: round trips may take longer than the delay between requests. */
  #isReplyToUs(message: ReadReply): boolean {
    return !message.sound && message.nonce > this.#firstNonce && message.nonce <= this.#nonce;
  }

  /** The voters that the newest configuration read so far names: the settings file may be older. */
  #votersOfNewestConfig(): Quorum | undefined {
    let version: Version = NO_VERSION;
    let body = '';
    for (const { standing, copies } of this.#replies.values()) {
      const copy = standing === 'sound' ? copies.find(isConfig) : undefined;
      if (!copy?.sound || !isNewer(copy, version)) continue;
      version = { epoch: copy.epoch, count: copy.count };
      body = copy.body;
    }
    return this.#quorumOf(body);
  }

  #arePeersUnfounded(quorum: Quorum): boolean {
    for (const peer of quorum.all) {
      if (peer === this.#me) continue;
      const standing = this.#replies.get(peer)?.standing;
      if (standing !== 'blank' && standing !== 'fresh') return false;
    }
    return true;
  }

  /** How this replica may begin to count, by the replies so far; undefined while it may not. */
  outcome(now: Moment, quorum: Quorum): ReplicaStatusOutcome | undefined {
    if (this.#name === 'sound') return undefined;
    // A majority that we were part of was one of the voters that the newest configuration names.
    const voters = this.#votersOfNewestConfig() ?? quorum;
    const { readFrom, epoch, copies } = this.#healthyReplies(voters);
    if (this.#mayFormCluster(now, quorum) && (!this.hasMemberEpoch || this.#isNewClusterForced))
      return { become: 'founded', epoch: this.#memberEpoch };
    // What was committed with our acknowledgement is stored by at least one of the others that completed the majority.
    if (epoch > 0 && voters.coversWithout(this.#me, readFrom))
      return { become: 'repaired', epoch, copies };
    // By an operator's command the replicas that are left have to do; members may know a newer epoch than these.
    if (this.#isNewClusterForced && epoch > 0)
      return { become: 'repaired', epoch: Math.max(epoch, this.#memberEpoch), copies };
    return undefined;
  }

  /** What healthy voters other than this one have answered, and the newest of their epochs. */
  #healthyReplies(voters: Quorum): {
    readonly readFrom: ReadonlySet<NodeId>;
    readonly epoch: number;
    readonly copies: readonly StoredReplica[];
  } {
    const readFrom = new Set<NodeId>();
    let epoch = 0;
    const copies: StoredReplica[] = [];
    for (const peer of voters.all) {
      const reply = this.#replies.get(peer);
      if (peer === this.#me || !reply) continue;
      if (reply.standing !== 'sound' && reply.standing !== 'fresh') continue;
      readFrom.add(peer);
      epoch = Math.max(epoch, reply.epoch);
      copies.push(...reply.copies);
    }
    return { readFrom, epoch, copies };
  }

  #mayFormCluster(now: Moment, quorum: Quorum): boolean {
    return (
      this.#mayFound &&
      this.#name === 'blank' &&
      quorum.includes(this.#me) &&
      this.#arePeersUnfounded(quorum) &&
      now >= later(this.#startedAt, this.#foundMs)
    );
  }
}

function isEmpty(copy: StoredReplica): boolean {
  return copy.epoch === 0;
}
function isConfig(copy: StoredReplica): boolean {
  return copy.part === CONFIG_PARTITION;
}
function namesNobody(): undefined {
  return undefined;
}
