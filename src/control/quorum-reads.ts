import { NoLeaderError } from '../common/errors.js';
import type { Moment, NodeId } from '../common/ids.js';
import type { MemberVersion, Message } from '../common/messages.js';
import type { Quorum } from '../common/quorum.js';
import { isNewer, NO_VERSION, type Version } from '../common/version.js';
import {
  FreshnessConfirmation,
  type ChildRequest,
} from '../dissemination/freshness-confirmation.js';
import type { Relay } from '../dissemination/relay.js';
import type { Elector } from '../election/elector.js';
import { CONFIG_PARTITION } from '../state/partition-names.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import type { ReplicaStatus } from '../state/replica-status.js';
import type { EffectQueue } from './effect-queue.js';
import type { FollowedVoters } from './followed-voters.js';
import type { KnownMembers } from './known-members.js';
import type { Leadership } from './leadership.js';
import { errorAnswer, type Origin } from './command-answers.js';
import type { TableManager } from './table-manager.js';
import type { UpdateExchange } from './update-exchange.js';

/** The components that quorum reads use. */
export interface QuorumReadDependencies {
  readonly me: NodeId;
  readonly incarnation: number;
  readonly elector: Elector;
  readonly state: ReplicatedState;
  readonly replicaStatus: ReplicaStatus;
  readonly relay: Relay;
  readonly voters: FollowedVoters;
  readonly members: KnownMembers;
  readonly leadership: Leadership;
  readonly table: TableManager;
  readonly updates: UpdateExchange;
  readonly effects: EffectQueue;
  /** Whether a node that has no list of machines yet must not answer: the policy table is placed by that list. */
  readonly needsMachines: boolean;
  /** A quorum read for a rejection completed; `isNewest` says that no later leader has written anything. */
  readonly onConfirmation: (now: Moment, id: number, isNewest: boolean) => void;
}

/** The purpose of a quorum read that this node itself requests: a client's read, or the rejection of an edit. */
type Purpose = { readonly do: 'read'; readonly origin: Origin } | { readonly do: 'rejection' };

interface ReadReply {
  readonly version: Version;
  /** The revision of the list of machines; `marks` on the wire. */
  readonly machinesRevision: number;
}

interface PendingRead {
  readonly nonce: number;
  /** The voters that are being read from. */
  readonly quorum: Quorum;
  readonly replies: Map<NodeId, ReadReply>;
}

type QuorumReadMessage = Extract<Message, { kind: 'quorumRead' }>;
type QuorumReadReply = Extract<Message, { kind: 'quorumReadReply' }>;

/** The `child` of a request by this node itself. */
const OWN_REQUEST = '';

/**
 * Reads the version of the newest configuration from a majority of the voters. That confirms the freshness of members,
 * lets the leader answer a linearizable read, and lets it reject an edit. One read is in flight at a time; it serves only
 * requests made before it began.
 */
export class QuorumReads {
  readonly #dependencies: QuorumReadDependencies;
  readonly #confirmation: FreshnessConfirmation;
  readonly #purposes = new Map<number, Purpose>();
  #lastId = 0;
  #inFlight: PendingRead | undefined;

  constructor(dependencies: QuorumReadDependencies) {
    this.#dependencies = dependencies;
    this.#confirmation = new FreshnessConfirmation(dependencies.incarnation);
  }

  /** Requests a quorum read for a rejection; it begins after this call. Returns its id. */
  confirmRejection(): number {
    return this.#request({ do: 'rejection' });
  }

  /** Answers a client's read with the newest configuration, once a quorum read has shown it to be the newest. */
  read(origin: Origin): void {
    this.#request({ do: 'read', origin });
  }

  /** A member, or a node on behalf of several members, requests a confirmation of its freshness. */
  confirmFreshness(now: Moment, request: ChildRequest): void {
    this.#dependencies.members.onRequest(now, request.members);
    this.#confirmation.enqueue(request);
    this.tick(now);
  }

  /** Begins a quorum read if one is requested, or repeats the unanswered requests of the one in flight. */
  tick(now: Moment): void {
    const { quorum } = this.#dependencies.voters;
    const nonce = this.#nextNonce(now, quorum);
    if (nonce === undefined) return;
    const read =
      this.#inFlight?.nonce === nonce ? this.#inFlight : { nonce, quorum, replies: new Map() };
    this.#inFlight = read;
    this.#sendRequests(now, read);
  }

  #nextNonce(now: Moment, quorum: Quorum): number | undefined {
    // Over slow links replies take longer than the retry interval, and with a new nonce for each retry they would never be in
    // time: the read in flight continues with the replies that it has. Another set of voters needs a new read.
    if (this.#inFlight?.quorum.text === quorum.text) return this.#confirmation.retry(now);
    return this.#confirmation.begin(now, this.#dependencies.elector.extraRoundTripMs);
  }

  #sendRequests(now: Moment, { nonce, quorum, replies }: PendingRead): void {
    const { me, effects } = this.#dependencies;
    const members = this.#dependencies.members.own();
    for (const voter of quorum.all) {
      if (replies.has(voter)) continue;
      if (voter === me) this.#replyToOwn(now, nonce);
      else effects.send(voter, { kind: 'quorumRead', nonce, members });
    }
  }

  /** Another control node requests the version stored here; its message also reports its members. */
  onQuorumRead(now: Moment, from: string, message: QuorumReadMessage): void {
    this.#onMembers(now, from, message.members);
    const reply = this.#reply(now, message.nonce);
    if (reply) this.#dependencies.effects.send(from, reply);
  }

  /** A voter replied to a quorum read: completes the read in flight once a majority has replied. */
  onQuorumReadReply(now: Moment, from: NodeId, message: QuorumReadReply): void {
    const read = this.#inFlight;
    if (!read || read.nonce !== message.nonce) return;
    const version = { epoch: message.epoch, count: message.count };
    read.replies.set(from, { version, machinesRevision: message.marks });
    if (!this.#dependencies.voters.quorum.isMajority(new Set(read.replies.keys()))) return;
    this.#inFlight = undefined;
    this.#complete(now, read.nonce, newestOf(read.replies.values()));
    this.tick(now);
  }

  /** This node no longer leads: pending reads fail. A rejection is answered by the component that requested its confirmation. */
  abandon(): void {
    for (const purpose of this.#purposes.values())
      if (purpose.do === 'read') this.#reject(purpose.origin, 'the leader changed');
    this.#purposes.clear();
  }

  #request(purpose: Purpose): number {
    this.#lastId += 1;
    this.#purposes.set(this.#lastId, purpose);
    this.#confirmation.enqueue({ child: OWN_REQUEST, nonce: this.#lastId, members: [] });
    return this.#lastId;
  }

  #onMembers(now: Moment, from: string, members: readonly MemberVersion[]): void {
    if (from !== this.#dependencies.me)
      this.#dependencies.members.onMembersReported(now, from, members);
  }

  #replyToOwn(now: Moment, nonce: number): void {
    const reply = this.#reply(now, nonce);
    if (reply) this.onQuorumReadReply(now, this.#dependencies.me, reply);
  }

  /** The reply with the version stored at this node; `undefined` while this node must not reply. */
  #reply(now: Moment, nonce: number): QuorumReadReply | undefined {
    const { replicaStatus, state, table, updates, needsMachines } = this.#dependencies;
    // A node that lost its disk, or whose partition is corrupt, may have acknowledged a newer version than it has now.
    if (replicaStatus.name !== 'sound' || state.corruptPartitions().includes(CONFIG_PARTITION))
      return undefined;
    const marks = table.machines.revision;
    // Without a list this node does not know which machines are leaving, although a node may have known before this one started.
    if (needsMachines && marks === 0) {
      updates.requestMachineList(now);
      return undefined;
    }
    return { kind: 'quorumReadReply', nonce, ...state.versionOf(CONFIG_PARTITION), marks };
  }

  #complete(now: Moment, nonce: number, newest: ReadReply): void {
    const { version, machinesRevision } = newest;
    for (const request of this.#confirmation.complete(nonce)) {
      if (request.child === OWN_REQUEST) this.#onOwnReadComplete(now, request.nonce, version);
      else
        this.#dependencies.effects.send(request.child, {
          kind: 'freshnessReply',
          nonce: request.nonce,
          ...version,
          marks: machinesRevision,
        });
    }
  }

  /** `newest` is the newest version that a majority replied with, committed or not. */
  #onOwnReadComplete(now: Moment, id: number, newest: Version): void {
    const purpose = this.#purposes.get(id);
    if (!purpose) return;
    this.#purposes.delete(id);
    const { leadership } = this.#dependencies;
    // Only this node commits in its epoch: if no later epoch was seen, the newest version that it knows to be committed is the
    // newest of all.
    const isNewest = leadership.isServing && newest.epoch <= leadership.epoch;
    if (purpose.do === 'rejection') this.#dependencies.onConfirmation(now, id, isNewest);
    else this.#answerRead(purpose.origin, newest, isNewest);
  }

  #answerRead(origin: Origin, newest: Version, isNewest: boolean): void {
    const { leadership, relay, effects } = this.#dependencies;
    const item = relay.latest('config');
    const isOfOwnEpoch = isNewest && item?.version.epoch === leadership.epoch;
    if (!leadership.isServing || !item || (!isOfOwnEpoch && isNewer(newest, item.version)))
      this.#reject(origin, 'a newer configuration is being written; ask again');
    else effects.answer(origin, { status: 200, body: item.body });
  }

  #reject(origin: Origin, text: string): void {
    this.#dependencies.effects.answer(origin, errorAnswer(new NoLeaderError(text)));
  }
}

function newestOf(replies: Iterable<ReadReply>): ReadReply {
  let version = NO_VERSION;
  let machinesRevision = 0;
  for (const reply of replies) {
    if (isNewer(reply.version, version)) version = reply.version;
    machinesRevision = Math.max(machinesRevision, reply.machinesRevision);
  }
  return { version, machinesRevision };
}
