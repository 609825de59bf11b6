import { later, type NodeId, type Moment } from '../common/ids.js';
import type { StoredReplica, Message } from '../common/messages.js';
import type { Quorum } from '../common/quorum.js';
import { isNewer, NO_VERSION, type Version } from '../common/version.js';
import { CONFIG_PARTITION } from './partition-names.js';

/** blank: an empty folder. lost: the record of our votes is unreadable. sound: we may vote and count. */
export type ReplicaStatusName = 'blank' | 'lost' | 'sound';

interface RepairReply {
  readonly standing: string;
  readonly epoch: number;
  readonly copies: readonly StoredReplica[];
}

export type ReplicaStatusOutcome =
  /** With the newest epoch that members hold news of: they never step back behind it. */
  | { readonly become: 'founded'; readonly epoch: number }
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

/** A peer that does not answer is asked again after so long, then after twice as long, up to the most. */
const MIN_REQUEST_DELAY_MS = 100;
const MAX_REQUEST_DELAY_MS = 800;
/** One that holds nothing yet is asked again after so long. */
const BLANK_REQUEST_DELAY_MS = 200;

/**
 * Decides when a node with an empty folder may count: by founding together with blank peers,
 * or by reading all it may ever have decided with. Until then it neither grants nor counts.
 */
export class ReplicaStatus {
  readonly #me: NodeId;
  #name: ReplicaStatusName;
  /** Each reply to one of ours counts: all numbers above the first were given out in this incarnation. */
  readonly #firstNonce: number;
  #nonce: number;
  readonly #startedAt: Moment;
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

  get name(): ReplicaStatusName {
    return this.#name;
  }
  get hasMemberEpoch(): boolean {
    return this.#memberEpoch > 0;
  }

  /** A member came that holds a configuration: what stood before must not be founded over by itself. */
  onMemberEpoch(epoch: number): void {
    this.#memberEpoch = Math.max(this.#memberEpoch, epoch);
  }

  /** An operator's word that nothing better than this is left. */
  forceNewCluster(): void {
    this.#isNewClusterForced = true;
  }

  resolve(): void {
    this.#name = 'sound';
    this.#replies.clear();
  }

  /** What is to be asked of whom now: of the voters known here, and of those that a copy read so far names. */
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
    // What a sound peer held after we started is all that it could know of us: we decide nothing with it meanwhile.
    if (this.#replies.get(peer)?.standing === 'sound') return false;
    const request = this.#requests.get(peer);
    return request === undefined || now >= request.nextRequestAt;
  }

  /** The return to a node that asks how we stand. */
  replyTo(nonce: number, epoch: number, copies: StoredReplica[], hasGranted: boolean): Message {
    // Founded, but nothing was ever decided with us: others may still found beside us, however far our own tries ran the epoch.
    const isFresh = this.#name === 'sound' && !hasGranted && copies.every(isEmpty);
    // A blank node tells what its members hold: one that has no members of its own must not found over it.
    return {
      kind: 'readReply',
      epoch: this.#name === 'blank' ? this.#memberEpoch : epoch,
      nonce,
      sound: false,
      copies: this.#name === 'sound' ? copies : [],
      standing: isFresh ? 'fresh' : this.#name,
    };
  }

  onReadReply(
    now: Moment,
    from: NodeId,
    message: ReadReply,
    quorum: Quorum,
  ): ReplicaStatusOutcome | undefined {
    if (this.#name === 'sound' || !this.#isReplyToUs(message)) return undefined;
    if (message.standing === 'blank') this.onMemberEpoch(message.epoch);
    // Later answers of one that was sound before we had read enough add nothing.
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

  /** Links may be slower than we ask: not only the last request's reply counts, but none of another incarnation. */
  #isReplyToUs(message: ReadReply): boolean {
    return !message.sound && message.nonce > this.#firstNonce && message.nonce <= this.#nonce;
  }

  /** The voters that the newest configuration read so far names: the settings may name fewer, or older ones. */
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

  outcome(now: Moment, quorum: Quorum): ReplicaStatusOutcome | undefined {
    if (this.#name === 'sound') return undefined;
    const holders = new Set<NodeId>();
    let epoch = 0;
    const copies: StoredReplica[] = [];
    // Whoever decided anything with us did so among the voters that the newest copy names, or that copy would not be it.
    const voters = this.#votersOfNewestConfig() ?? quorum;
    for (const peer of voters.all) {
      const known = this.#replies.get(peer);
      if (peer === this.#me || !known) continue;
      if (known.standing !== 'sound' && known.standing !== 'fresh') continue;
      holders.add(peer);
      epoch = Math.max(epoch, known.epoch);
      copies.push(...known.copies);
    }
    const mayFound =
      this.#mayFound &&
      this.#name === 'blank' &&
      quorum.includes(this.#me) &&
      this.#arePeersUnfounded(quorum) &&
      now >= later(this.#startedAt, this.#foundMs);
    if (mayFound && (!this.hasMemberEpoch || this.#isNewClusterForced))
      return { become: 'founded', epoch: this.#memberEpoch };
    // Whatever was decided with us is also held by one of those others: all of them but ourselves must have been read.
    if (epoch > 0 && voters.coversWithout(this.#me, holders))
      return { become: 'repaired', epoch, copies };
    // An operator's word: whoever is left tells all that can be known, and members may still know a newer table.
    if (this.#isNewClusterForced && epoch > 0)
      return { become: 'repaired', epoch: Math.max(epoch, this.#memberEpoch), copies };
    return undefined;
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
