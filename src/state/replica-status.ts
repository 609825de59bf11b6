import { later, type NodeId, type Moment } from '../common/ids.js';
import type { StoredReplica, Message } from '../common/messages.js';
import type { Quorum } from '../common/quorum.js';
import { isNewer, NO_VERSION, type Version } from '../common/version.js';
import { CONFIG_PARTITION } from './partition-names.js';

/** Whether this replica may vote and count in majorities. The values are also sent in messages. */
export type ReplicaStatusName =
  /** The data folder is empty. */
  | 'blank'
  /** The vote record of this replica is unreadable. */
  | 'lost'
  /** The replica is healthy: it may vote and count in majorities. */
  | 'sound';

/** What a peer reported about its own replica. */
interface RepairReply {
  readonly status: string;
  readonly epoch: number;
  readonly copies: readonly StoredReplica[];
}

/** How a blank or lost replica may become healthy. */
export type ReplicaStatusOutcome =
  /** It forms a new cluster with blank peers, above the newest epoch known to agents and proxies, which accept no older one. */
  | { readonly become: 'founded'; readonly epoch: number }
  /** It adopts the newest versions of these partitions, and takes part again in epochs above this one. */
  | {
      readonly become: 'repaired';
      readonly epoch: number;
      readonly copies: readonly StoredReplica[];
    };

type ReadReply = Extract<Message, { kind: 'readReply' }>;

interface OutgoingMessage {
  readonly to: NodeId;
  readonly message: Message;
}

/** Delay before a request without a reply is repeated; it doubles with each repetition, up to `MAX_REQUEST_DELAY_MS`. */
const MIN_REQUEST_DELAY_MS = 100;
const MAX_REQUEST_DELAY_MS = 800;
/** Delay before the next request to a peer that replied but is not healthy itself. */
const BLANK_REQUEST_DELAY_MS = 200;

/**
 * Decides when a replica that lost its disk, or never had data, may vote and count in majorities: it forms a new cluster with
 * blank peers, or reads the replicas of every majority that it may have been part of. Until then it neither grants votes nor
 * acknowledges writes.
 */
export class ReplicaStatus {
  readonly #me: NodeId;
  #name: ReplicaStatusName;
  /** Nonces above this one were assigned in this incarnation; replies to any of them are accepted. */
  readonly #initialNonce: number;
  #nonce: number;
  readonly #startedAt: Moment;
  /** How long after its start a blank replica waits before it forms a new cluster. */
  readonly #formationDelayMs: number;
  readonly #replies = new Map<NodeId, RepairReply>();
  readonly #requests = new Map<
    NodeId,
    { readonly nextRequestAt: Moment; readonly delayMs: number }
  >();
  readonly #quorumOf: (configBody: string) => Quorum | undefined;
  #memberEpoch = 0;
  #isNewClusterForced = false;
  readonly #isFormationAllowed: boolean;

  constructor(
    me: NodeId,
    name: ReplicaStatusName,
    now: Moment,
    formationDelayMs: number,
    incarnation: number,
    isFormationAllowed: boolean = true,
    quorumOf: (configBody: string) => Quorum | undefined = noQuorum,
  ) {
    this.#me = me;
    this.#name = name;
    this.#startedAt = now;
    this.#formationDelayMs = formationDelayMs;
    this.#initialNonce = incarnation;
    this.#nonce = incarnation;
    this.#isFormationAllowed = isFormationAllowed;
    this.#quorumOf = quorumOf;
  }

  /** The current status. */
  get name(): ReplicaStatusName {
    return this.#name;
  }
  /** Whether an agent or proxy with a configuration of an earlier cluster is known. */
  get hasMemberEpoch(): boolean {
    return this.#memberEpoch > 0;
  }

  /**
   * Records that an agent or proxy has a configuration of this epoch: the cluster that wrote it must not be replaced without an
   * operator's command.
   */
  onMemberEpoch(epoch: number): void {
    this.#memberEpoch = Math.max(this.#memberEpoch, epoch);
  }

  /** Handles an operator's command that declares that no better replica is left: a new cluster is formed from what was read. */
  forceNewCluster(): void {
    this.#isNewClusterForced = true;
  }

  /** Marks the replica as healthy, once the outcome is on its disk. */
  markHealthy(): void {
    this.#name = 'sound';
    this.#replies.clear();
  }

  /** Returns the requests that are due, to the voters known here and those that the newest configuration read so far names. */
  tick(now: Moment, quorum: Quorum): OutgoingMessage[] {
    if (this.#name === 'sound') return [];
    const peers = new Set([...quorum.all, ...(this.#votersOfNewestConfig()?.all ?? [])]);
    peers.delete(this.#me);
    const due = [...peers].filter((peer) => this.#isRequestDue(now, peer));
    if (due.length === 0) return [];
    this.#nonce += 1;
    const sends: OutgoingMessage[] = [];
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
    // One reply of a healthy peer is enough: this replica has acknowledged no write since it started.
    if (this.#replies.get(peer)?.status === 'sound') return false;
    const request = this.#requests.get(peer);
    return request === undefined || now >= request.nextRequestAt;
  }

  /** The reply to a replica that reads this one in order to be repaired. `epoch` and `copies` are those of this replica. */
  replyTo(nonce: number, epoch: number, copies: StoredReplica[], hasGranted: boolean): Message {
    // A healthy replica that never granted a vote and stores nothing does not prevent blank peers from forming the cluster.
    const isFresh = this.#name === 'sound' && !hasGranted && copies.every(isEmpty);
    // A blank replica reports the epoch of its members, so that a peer without members does not replace their cluster.
    return {
      kind: 'readReply',
      epoch: this.#name === 'blank' ? this.#memberEpoch : epoch,
      nonce,
      sound: false,
      copies: this.#name === 'sound' ? copies : [],
      standing: isFresh ? 'fresh' : this.#name,
    };
  }

  /** Handles a peer's reply to a request of `tick`; returns how this replica may become healthy, or undefined while it may not. */
  onReadReply(
    now: Moment,
    from: NodeId,
    message: ReadReply,
    quorum: Quorum,
  ): ReplicaStatusOutcome | undefined {
    if (this.#name === 'sound' || !this.#isRepairReply(message)) return undefined;
    if (message.standing === 'blank') this.onMemberEpoch(message.epoch);
    // The first reply of a healthy peer is retained; later ones add no information.
    if (this.#replies.get(from)?.status !== 'sound') {
      const { standing, epoch, copies } = message;
      this.#replies.set(from, { status: standing, epoch, copies });
      this.#requests.set(from, {
        nextRequestAt: later(now, BLANK_REQUEST_DELAY_MS),
        delayMs: BLANK_REQUEST_DELAY_MS,
      });
    }
    return this.outcome(now, quorum);
  }

  /** Accepts a reply to any request of this incarnation: round trips may take longer than the delay between requests. */
  #isRepairReply(message: ReadReply): boolean {
    return !message.sound && message.nonce > this.#initialNonce && message.nonce <= this.#nonce;
  }

  /** The voters that the newest configuration read so far names; those of the settings file may be older. */
  #votersOfNewestConfig(): Quorum | undefined {
    let version: Version = NO_VERSION;
    let body = '';
    for (const { status, copies } of this.#replies.values()) {
      const copy = status === 'sound' ? copies.find(isConfig) : undefined;
      if (!copy?.sound || !isNewer(copy, version)) continue;
      version = { epoch: copy.epoch, count: copy.count };
      body = copy.body;
    }
    return this.#quorumOf(body);
  }

  #areAllPeersBlankOrFresh(quorum: Quorum): boolean {
    for (const peer of quorum.all) {
      if (peer === this.#me) continue;
      const status = this.#replies.get(peer)?.status;
      if (status !== 'blank' && status !== 'fresh') return false;
    }
    return true;
  }

  /** How this replica may become healthy, given the replies so far; undefined while it may not. */
  outcome(now: Moment, quorum: Quorum): ReplicaStatusOutcome | undefined {
    if (this.#name === 'sound') return undefined;
    // Any majority that this replica was part of consisted of voters that the newest configuration names.
    const voters = this.#votersOfNewestConfig() ?? quorum;
    const { readFrom, epoch, copies } = this.#healthyReplies(voters);
    if (this.#canFormCluster(now, quorum) && (!this.hasMemberEpoch || this.#isNewClusterForced))
      return { become: 'founded', epoch: this.#memberEpoch };
    // A write committed with the acknowledgement of this replica is stored by at least one other replica of that majority.
    if (epoch > 0 && voters.coversWithout(this.#me, readFrom))
      return { become: 'repaired', epoch, copies };
    // By an operator's command the remaining replicas suffice; members may know a newer epoch than these.
    if (this.#isNewClusterForced && epoch > 0)
      return { become: 'repaired', epoch: Math.max(epoch, this.#memberEpoch), copies };
    return undefined;
  }

  /** The replies of healthy voters other than this one: who replied, the newest epoch and all partitions. */
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
      if (reply.status !== 'sound' && reply.status !== 'fresh') continue;
      readFrom.add(peer);
      epoch = Math.max(epoch, reply.epoch);
      copies.push(...reply.copies);
    }
    return { readFrom, epoch, copies };
  }

  #canFormCluster(now: Moment, quorum: Quorum): boolean {
    return (
      this.#isFormationAllowed &&
      this.#name === 'blank' &&
      quorum.includes(this.#me) &&
      this.#areAllPeersBlankOrFresh(quorum) &&
      now >= later(this.#startedAt, this.#formationDelayMs)
    );
  }
}

function isEmpty(copy: StoredReplica): boolean {
  return copy.epoch === 0;
}
function isConfig(copy: StoredReplica): boolean {
  return copy.part === CONFIG_PARTITION;
}
function noQuorum(): undefined {
  return undefined;
}
