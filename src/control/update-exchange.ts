import { later, moment, type Moment, type NodeId } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import type { HaveMessage, Message } from '../common/messages.js';
import { isNewer } from '../common/version.js';
import type { Relay } from '../dissemination/relay.js';
import { MachinesShape, type Machines } from '../placement/shapes.js';
import type { EffectQueue } from './effect-queue.js';
import type { FollowedVoters } from './followed-voters.js';
import type { KnownMembers } from './known-members.js';
import type { RelayTree } from './relay-tree.js';
import type { TableManager } from './table-manager.js';

/** What updates are taken from and handed to. */
export interface UpdateParts {
  readonly me: NodeId;
  readonly relay: Relay;
  readonly tree: RelayTree;
  readonly members: KnownMembers;
  readonly table: TableManager;
  readonly voters: FollowedVoters;
  readonly effects: EffectQueue;
  /** Whether voters are also followed by what the leader tells, as in a deployment. */
  readonly followsTold: boolean;
}

type UpdateMessage = Extract<Message, { kind: 'update' }>;
type DeltaMessage = Extract<Message, { kind: 'delta' }>;

/** A list of machines is asked for again after so long. */
const ASK_LIST_MS = 500;
/** The nonce of a request for updates alone; one that is to be confirmed fresh counts from 0. */
const UPDATES_ALONE = -1;
const NEVER = moment(-1e12);

/** Updates of the topics that are told to every node: taken, passed on, and asked for where they are missing. */
export class UpdateExchange {
  readonly #parts: UpdateParts;
  #listAskedAt: Moment = NEVER;

  constructor(parts: UpdateParts) {
    this.#parts = parts;
  }

  /** Sends what those fed from here lack. */
  flush(): void {
    const { relay, effects } = this.#parts;
    for (const { to, message } of relay.flush()) effects.send(to, message);
  }

  /** Asks a node for whatever it has that is newer than ours. */
  request(from: string): void {
    this.#request(from, this.#parts.relay.have());
  }

  /** Asks every known member for all that it has, as if nothing were held here. */
  requestAll(): void {
    for (const member of this.#parts.members.all()) this.#request(member.id, []);
  }

  /** A request for updates alone: answered once, since who hangs elsewhere is fed there, and would get everything twice. */
  answerOnce(from: string): void {
    this.flush();
    if (!this.#parts.tree.feeds(from)) this.#parts.relay.removeChild(from);
  }

  receiveUpdate(message: UpdateMessage): void {
    const { topic, body, epoch, count } = message;
    if (topic === 'machines') {
      const machines = parseAs(MachinesShape, body);
      if (machines) this.takeMachines(machines);
      return;
    }
    const isNew = this.#parts.relay.offer(topic, { epoch, count }, body);
    if (isNew && this.#parts.followsTold && topic === 'config') this.#parts.voters.follow();
  }

  /** A change that does not follow on what is held here: the sender is told what is. */
  receiveDelta(from: string, message: DeltaMessage): void {
    const { relay } = this.#parts;
    const version = { epoch: message.epoch, count: message.count };
    if (relay.offerDelta(message.topic, version, message.from, message.body)) return;
    if (isNewer(version, relay.version(message.topic))) this.request(from);
  }

  /** Takes the platform's list of machines, if it is newer than what is held. */
  takeMachines(machines: Machines): void {
    if (!this.#parts.table.takeMachines(machines)) return;
    const version = { epoch: 0, count: machines.revision };
    const body = JSON.stringify(machines);
    this.#parts.relay.offer('machines', version, body);
    // Every node that learns of a mark passes it on at once, leader or not.
    for (const peer of this.#peers())
      this.#parts.effects.send(peer, { kind: 'update', topic: 'machines', ...version, body });
  }

  /** The platform is away and we have just started: links below still hold its list. */
  askMachines(now: Moment): void {
    if (now < later(this.#listAskedAt, ASK_LIST_MS)) return;
    this.#listAskedAt = now;
    for (const member of this.#parts.members.all()) this.request(member.id);
    for (const peer of this.#peers()) this.request(peer);
  }

  #request(from: string, have: HaveMessage[]): void {
    this.#parts.effects.send(from, {
      kind: 'freshnessRequest',
      nonce: UPDATES_ALONE,
      have,
      members: [],
    });
  }

  #peers(): NodeId[] {
    const peers: NodeId[] = [];
    for (const voter of this.#parts.voters.quorum.all)
      if (voter !== this.#parts.me) peers.push(voter);
    return peers;
  }
}
