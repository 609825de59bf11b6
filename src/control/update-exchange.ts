import { later, moment, type Moment, type NodeId } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import type { KnownVersion, Message } from '../common/messages.js';
import { isNewer, versionText, type Version } from '../common/version.js';
import { VOTERS_TOPIC, type Relay } from '../dissemination/relay.js';
import { MachinesShape, type Machines } from '../placement/shapes.js';
import type { EffectQueue } from './effect-queue.js';
import type { FollowedVoters, VersionedConfig } from './followed-voters.js';
import type { KnownMembers } from './known-members.js';
import type { Leadership } from './leadership.js';
import type { RelayTree } from './relay-tree.js';
import type { TableManager } from './table-manager.js';

/** The components that updates come from and go to. */
export interface UpdateExchangeDependencies {
  readonly me: NodeId;
  readonly relay: Relay;
  readonly tree: RelayTree;
  readonly members: KnownMembers;
  readonly table: TableManager;
  readonly voters: FollowedVoters;
  readonly leadership: Leadership;
  readonly effects: EffectQueue;
  /** Whether a configuration update changes the voters known here at once, as in a deployment. */
  readonly followsConfigUpdates: boolean;
}

type UpdateMessage = Extract<Message, { kind: 'update' }>;
type DeltaMessage = Extract<Message, { kind: 'delta' }>;

/** Interval between requests for the list of machines. */
const MACHINE_LIST_REQUEST_INTERVAL_MS = 500;
/** Nonce of a request for updates without a freshness confirmation; nonces of requests with one count from 0. */
const UPDATES_ONLY_NONCE = -1;
const NEVER = moment(-1e12);

/** Receives, forwards and requests updates of the topics that every node gets. */
export class UpdateExchange {
  readonly #dependencies: UpdateExchangeDependencies;
  #machineListRequestedAt: Moment = NEVER;

  constructor(dependencies: UpdateExchangeDependencies) {
    this.#dependencies = dependencies;
  }

  /** Sends the children the updates that they lack. */
  flush(): void {
    const { relay, effects } = this.#dependencies;
    for (const { to, message } of relay.flush()) effects.send(to, message);
  }

  /** Requests from a node all updates that are newer than those known here. */
  request(from: string): void {
    this.#request(from, this.#dependencies.relay.knownVersions());
  }

  /** Requests all updates from every known member, as if nothing were known here. */
  requestAll(): void {
    for (const member of this.#dependencies.members.all()) this.#request(member.id, []);
  }

  /** A node requested updates. A node that is not a child gets them only once: its own parent sends it all later ones. */
  onUpdateRequest(from: string): void {
    const { relay, tree } = this.#dependencies;
    this.flush();
    if (!tree.isChild(from)) relay.removeChild(from);
    this.#reportVoters(from, relay.version('config'));
  }

  /** A control node that knows the published configuration of this version, or none, announced itself. */
  onAnnounce(from: string, published: Version): void {
    const config = this.#dependencies.relay.latest('config');
    if (config && isNewer(config.version, published)) this.#sendUpdate(from, 'config', config);
    this.#reportVoters(from, published);
  }

  /**
   * Reports the voters of the newest configuration to these nodes if no leader has published that configuration to this
   * process yet. After a restart of all nodes each of them knows only what is on its own disk, and the voters of the
   * newest configuration may be known to one of them alone.
   */
  reportUnpublishedVoters(to: readonly string[]): void {
    const published = this.#dependencies.relay.version('config');
    for (const peer of to) this.#reportVoters(peer, published);
  }

  /** An update arrived, as a snapshot of its topic. */
  onUpdate(from: string, message: UpdateMessage): void {
    const { topic, body, epoch, count } = message;
    if (topic === VOTERS_TOPIC) {
      this.#onVotersReported(from, { version: { epoch, count }, body });
      return;
    }
    if (topic === 'machines') {
      const machines = parseAs(MachinesShape, body);
      if (machines) this.onMachineList(machines);
      return;
    }
    const isNew = this.#dependencies.relay.offer(topic, { epoch, count }, body);
    if (isNew && this.#dependencies.followsConfigUpdates && topic === 'config')
      this.#dependencies.voters.follow();
  }

  /** A delta arrived. If its base is not the version known here, the missing updates are requested from its sender. */
  onDelta(from: string, message: DeltaMessage): void {
    const { relay } = this.#dependencies;
    const version = { epoch: message.epoch, count: message.count };
    if (relay.offerDelta(message.topic, version, message.from, message.body)) return;
    if (isNewer(version, relay.version(message.topic))) this.request(from);
  }

  /** A list of machines arrived, from the platform or another node; it is used and forwarded if it is newer than the known one. */
  onMachineList(machines: Machines): void {
    if (!this.#dependencies.table.onMachineList(machines)) return;
    const version = { epoch: 0, count: machines.revision };
    const body = JSON.stringify(machines);
    this.#dependencies.relay.offer('machines', version, body);
    // Every node forwards a new list at once, leader or not, since it shows which machines are draining.
    for (const peer of this.#peers())
      this.#dependencies.effects.send(peer, {
        kind: 'update',
        topic: 'machines',
        ...version,
        body,
      });
  }

  /** Requests the list of machines from agents and peers: they still know it if this node started while the platform was unreachable. */
  requestMachineList(now: Moment): void {
    if (now < later(this.#machineListRequestedAt, MACHINE_LIST_REQUEST_INTERVAL_MS)) return;
    this.#machineListRequestedAt = now;
    for (const member of this.#dependencies.members.all()) this.request(member.id);
    for (const peer of this.#peers()) this.request(peer);
  }

  #onVotersReported(from: string, reported: VersionedConfig): void {
    const { voters, effects, followsConfigUpdates } = this.#dependencies;
    if (!followsConfigUpdates || !voters.onVotersReported(reported)) return;
    effects.log({
      event: 'voters reported',
      by: from,
      voters: voters.quorum.text,
      version: versionText(reported.version),
    });
  }

  #reportVoters(to: string, known: Version): void {
    const { voters: followedVoters, leadership, followsConfigUpdates } = this.#dependencies;
    // A serving leader publishes its configuration as soon as it is committed.
    if (!followsConfigUpdates || leadership.isServing) return;
    const voters = followedVoters.newerThan(known);
    if (voters) this.#sendUpdate(to, VOTERS_TOPIC, voters);
  }

  #sendUpdate(to: string, topic: string, { version, body }: VersionedConfig): void {
    this.#dependencies.effects.send(to, { kind: 'update', topic, ...version, body });
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
