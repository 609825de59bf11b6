import { later, moment, type Moment, type NodeId } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import type { KnownVersion, Message } from '../common/messages.js';
import { isNewer } from '../common/version.js';
import type { Relay } from '../dissemination/relay.js';
import { MachinesShape, type Machines } from '../placement/shapes.js';
import type { EffectQueue } from './effect-queue.js';
import type { FollowedVoters } from './followed-voters.js';
import type { KnownMembers } from './known-members.js';
import type { RelayTree } from './relay-tree.js';
import type { TableManager } from './table-manager.js';

/** What updates are taken from and handed to. */
export interface UpdateExchangeDependencies {
  readonly me: NodeId;
  readonly relay: Relay;
  readonly tree: RelayTree;
  readonly members: KnownMembers;
  readonly table: TableManager;
  readonly voters: FollowedVoters;
  readonly effects: EffectQueue;
  /** Whether voters are also followed by what the leader tells, as in a deployment. */
  readonly followsConfigUpdates: boolean;
}

type UpdateMessage = Extract<Message, { kind: 'update' }>;
type DeltaMessage = Extract<Message, { kind: 'delta' }>;

/** A list of machines is asked for again after so long. */
const MACHINE_LIST_REQUEST_INTERVAL_MS = 500;
/** The nonce of a request for updates alone; one that is to be confirmed fresh counts from 0. */
const UPDATES_ONLY_NONCE = -1;
const NEVER = moment(-1e12);

/** Updates of the topics that are told to every node: taken, passed on, and asked for where they are missing. */
export class UpdateExchange {
  readonly #dependencies: UpdateExchangeDependencies;
  #machineListRequestedAt: Moment = NEVER;

  constructor(parts: UpdateExchangeDependencies) {
    this.#dependencies = parts;
  }

  /** Sends what those fed from here lack. */
  flush(): void {
    const { relay, effects } = this.#dependencies;
    for (const { to, message } of relay.flush()) effects.send(to, message);
  }

  /** Asks a node for whatever it has that is newer than ours. */
  request(from: string): void {
    this.#request(from, this.#dependencies.relay.knownVersions());
  }

  /** Asks every known member for all that it has, as if nothing were held here. */
  requestAll(): void {
    for (const member of this.#dependencies.members.all()) this.#request(member.id, []);
  }

  /** A request for updates alone: answered once, since who hangs elsewhere is fed there, and would get everything twice. */
  onUpdateRequest(from: string): void {
    this.flush();
    if (!this.#dependencies.tree.isChild(from)) this.#dependencies.relay.removeChild(from);
  }

  onUpdate(message: UpdateMessage): void {
    const { topic, body, epoch, count } = message;
    if (topic === 'machines') {
      const machines = parseAs(MachinesShape, body);
      if (machines) this.onMachineList(machines);
      return;
    }
    const isNew = this.#dependencies.relay.offer(topic, { epoch, count }, body);
    if (isNew && this.#dependencies.followsConfigUpdates && topic === 'config')
      this.#dependencies.voters.follow();
  }

  /** A change that does not follow on what is held here: the sender is told what is. */
  onDelta(from: string, message: DeltaMessage): void {
    const { relay } = this.#dependencies;
    const version = { epoch: message.epoch, count: message.count };
    if (relay.offerDelta(message.topic, version, message.from, message.body)) return;
    if (isNewer(version, relay.version(message.topic))) this.request(from);
  }

  /** Takes the platform's list of machines, if it is newer than what is held. */
  onMachineList(machines: Machines): void {
    if (!this.#dependencies.table.onMachineList(machines)) return;
    const version = { epoch: 0, count: machines.revision };
    const body = JSON.stringify(machines);
    this.#dependencies.relay.offer('machines', version, body);
    // Every node that learns of a mark passes it on at once, leader or not.
    for (const peer of this.#peers())
      this.#dependencies.effects.send(peer, {
        kind: 'update',
        topic: 'machines',
        ...version,
        body,
      });
  }

  /** The platform is away and we have just started: links below still hold its list. */
  requestMachineList(now: Moment): void {
    if (now < later(this.#machineListRequestedAt, MACHINE_LIST_REQUEST_INTERVAL_MS)) return;
    this.#machineListRequestedAt = now;
    for (const member of this.#dependencies.members.all()) this.request(member.id);
    for (const peer of this.#peers()) this.request(peer);
  }

  #request(from: string, have: KnownVersion[]): void {
    this.#dependencies.effects.send(from, {
      kind: 'freshnessRequest',
      nonce: UPDATES_ONLY_NONCE,
      have,
      members: [],
    });
  }

  #peers(): NodeId[] {
    const peers: NodeId[] = [];
    for (const voter of this.#dependencies.voters.quorum.all)
      if (voter !== this.#dependencies.me) peers.push(voter);
    return peers;
  }
}
