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

/** What a quorum read is made of, and what it reads here. */
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
  /** Whether a node without any list of machines says nothing, as where the table is placed by. */
  readonly needsMachines: boolean;
  /** A quorum read for the refusal of an order ended; `isNewest` says that no later leader has written anything. */
  readonly onConfirmation: (now: Moment, id: number, isNewest: boolean) => void;
}

/** What a quorum read that this node asked for itself is to prove. */
type Purpose = { readonly do: 'read'; readonly origin: Origin } | { readonly do: 'refusal' };

interface ReadReply {
  readonly version: Version;
  /** The revision of the list of machines. */
  readonly evacuations: number;
}

interface PendingRead {
  readonly nonce: number;
  /** Who is asked. */
  readonly quorum: Quorum;
  readonly replies: Map<NodeId, ReadReply>;
}

type QuorumReadMessage = Extract<Message, { kind: 'quorumRead' }>;
type QuorumReadReply = Extract<Message, { kind: 'quorumReadReply' }>;

/** The `child` of an ask that this node makes for itself. */
const OWN = '';

/**
 * Asks a majority of the voters for the newest configuration that they hold. By that the members below are confirmed
 * fresh, a read of the leader is answered, and an order may be refused. One round is under way at a time; it proves
 * only what was asked for before it began.
 */
export class QuorumReads {
  readonly #dependencies: QuorumReadDependencies;
  readonly #confirmation: FreshnessConfirmation;
  readonly #purposes = new Map<number, Purpose>();
  #lastId = 0;
  #inFlight: PendingRead | undefined;

  constructor(parts: QuorumReadDependencies) {
    this.#dependencies = parts;
    this.#confirmation = new FreshnessConfirmation(parts.incarnation);
  }

  /** Asks for a quorum read that begins after this call, for a refusal; returns its id. */
  confirmRefusal(): number {
    return this.#request({ do: 'refusal' });
  }

  /** Answers with the newest configuration, once it is proved to be that. */
  read(origin: Origin): void {
    this.#request({ do: 'read', origin });
  }

  /** A member, or a node on behalf of many, asks to be confirmed fresh. */
  confirmFreshness(now: Moment, ask: ChildRequest): void {
    this.#dependencies.members.onRequest(now, ask.members);
    this.#confirmation.enqueue(ask);
    this.tick(now);
  }

  /** Begins a round, if something waits for one, or asks those again that have not answered. */
  tick(now: Moment): void {
    const { quorum } = this.#dependencies.voters;
    const nonce = this.#nextNonce(now, quorum);
    if (nonce === undefined) return;
    const round =
      this.#inFlight?.nonce === nonce ? this.#inFlight : { nonce, quorum, replies: new Map() };
    this.#inFlight = round;
    this.#sendRequests(now, round);
  }

  #nextNonce(now: Moment, quorum: Quorum): number | undefined {
    // Where answers take longer than we wait to ask again, those to a new nonce would never be in time: what is open goes
    // on with the answers that it has. Other voters are asked anew.
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

  onQuorumRead(now: Moment, from: string, message: QuorumReadMessage): void {
    this.#onMembers(now, from, message.members);
    const reply = this.#reply(now, message.nonce);
    if (reply) this.#dependencies.effects.send(from, reply);
  }

  onQuorumReadReply(now: Moment, from: NodeId, message: QuorumReadReply): void {
    const round = this.#inFlight;
    if (!round || round.nonce !== message.nonce) return;
    const version = { epoch: message.epoch, count: message.count };
    round.replies.set(from, { version, evacuations: message.marks });
    if (!this.#dependencies.voters.quorum.isMajority(new Set(round.replies.keys()))) return;
    this.#inFlight = undefined;
    this.#complete(now, round.nonce, newestOf(round.replies.values()));
    this.tick(now);
  }

  /** This node leads no longer: whoever reads is told so. Refusals are answered by whoever asked for their proof. */
  abandon(): void {
    for (const purpose of this.#purposes.values())
      if (purpose.do === 'read') this.#refuse(purpose.origin, 'the leader changed');
    this.#purposes.clear();
  }

  #request(purpose: Purpose): number {
    this.#lastId += 1;
    this.#purposes.set(this.#lastId, purpose);
    this.#confirmation.enqueue({ child: OWN, nonce: this.#lastId, members: [] });
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

  /** What this node holds; nothing while it cannot tell. */
  #reply(now: Moment, nonce: number): QuorumReadReply | undefined {
    const { replicaStatus, state, table, updates, needsMachines } = this.#dependencies;
    // A node whose disk is lost, or whose copy is bad, may have held something newer than it can tell.
    if (replicaStatus.name !== 'sound' || state.corruptPartitions().includes(CONFIG_PARTITION))
      return undefined;
    const marks = table.machines.revision;
    // Without any list we cannot tell which machines are leaving, though somebody may have known before we started.
    if (needsMachines && marks === 0) {
      updates.requestMachineList(now);
      return undefined;
    }
    return { kind: 'quorumReadReply', nonce, ...state.versionOf(CONFIG_PARTITION), marks };
  }

  #complete(now: Moment, nonce: number, newest: ReadReply): void {
    const { version, evacuations: marks } = newest;
    for (const ask of this.#confirmation.complete(nonce)) {
      if (ask.child === OWN) this.#fulfil(now, ask.nonce, version);
      else
        this.#dependencies.effects.send(ask.child, {
          kind: 'freshnessReply',
          nonce: ask.nonce,
          ...version,
          marks,
        });
    }
  }

  /** `newest` is the newest version that a majority holds, committed or not. */
  #fulfil(now: Moment, id: number, newest: Version): void {
    const purpose = this.#purposes.get(id);
    if (!purpose) return;
    this.#purposes.delete(id);
    const { leadership } = this.#dependencies;
    // Of our own epoch nobody but us commits anything: with nothing later around, what we know to be committed is the newest.
    const isNewest = leadership.isServing && newest.epoch <= leadership.epoch;
    if (purpose.do === 'refusal') this.#dependencies.onConfirmation(now, id, isNewest);
    else this.#answerRead(purpose.origin, newest, isNewest);
  }

  #answerRead(origin: Origin, newest: Version, isNewest: boolean): void {
    const { leadership, relay, effects } = this.#dependencies;
    const item = relay.latest('config');
    const isOurs = isNewest && item?.version.epoch === leadership.epoch;
    if (!leadership.isServing || !item || (!isOurs && isNewer(newest, item.version)))
      this.#refuse(origin, 'a newer configuration is being written; ask again');
    else effects.answer(origin, { status: 200, body: item.body });
  }

  #refuse(origin: Origin, text: string): void {
    this.#dependencies.effects.answer(origin, errorAnswer(new NoLeaderError(text)));
  }
}

function newestOf(replies: Iterable<ReadReply>): ReadReply {
  let version = NO_VERSION;
  let marks = 0;
  for (const reply of replies) {
    if (isNewer(reply.version, version)) version = reply.version;
    marks = Math.max(marks, reply.evacuations);
  }
  return { version, evacuations: marks };
}
