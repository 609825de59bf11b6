import { parseAs } from '../common/json.js';
import { nodeId, type NodeId, type Moment, type PartitionName } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { Version } from '../common/version.js';
import type { Relay } from '../dissemination/relay.js';
import type { Elector } from '../election/elector.js';
import type { VoteEffect } from '../election/vote-effect.js';
import { VOTE_DEFAULTS, type VoteSettings } from '../election/vote-settings.js';
import type { ListedRunner, RunnerStatus } from '../placement/fleet.js';
import { PLACER_DEFAULTS, type PlacerSettings } from '../placement/placer-types.js';
import {
  ServicePartitionShape,
  type Catalog,
  type Machines,
  type RunnerReport,
} from '../placement/shapes.js';
import { CONFIG_PARTITION, VOTE_RECORD } from '../state/partition-names.js';
import type { ReplicatedState, ReplicatedStateEffect } from '../state/replicated-state.js';
import type { ReplicaStatus } from '../state/replica-status.js';
import type { StoredPartition } from '../state/store.js';
import { ControlComponents } from './control-components.js';
import type { ControlEffect, ControlSettings, OrderResult } from './control-effect.js';
import type { ControlMetrics } from './control-metrics.js';
import { makeReplica, type ControlReplica } from './control-replica.js';
import { metricsOf } from './control-snapshot.js';
import { leaderClockOf } from './command-forwarding.js';

type CommittedEffect = Extract<ReplicatedStateEffect, { do: 'committed' }>;

/**
 * The core of a control node: election, replicated state, sessions, updates, configuration and placement, as one pure state
 * machine. Its inputs (`on…` and `tick`) are messages, timer ticks and the results of effects; `drain` returns the effects
 * to carry out. The work is done by its components; the core decides which of them get an input, and in which order.
 */
export class ControlCore {
  readonly #replica: ControlReplica;
  readonly #components: ControlComponents;
  readonly #isDeployed: boolean;
  #seeds: readonly string[];
  #isRetiring = false;

  constructor(
    settings: ControlSettings,
    stored: readonly StoredPartition[],
    now: Moment,
    vote: VoteSettings = VOTE_DEFAULTS,
    placer: PlacerSettings = PLACER_DEFAULTS,
  ) {
    this.#seeds = settings.seeds;
    this.#isDeployed = settings.deployed !== undefined;
    this.#replica = makeReplica(settings, stored, now, vote);
    this.#components = new ControlComponents(settings, placer, this.#replica, now, {
      mayOrder: (now) => this.mayOrder(now),
      drainEffects: (now) => this.#drainEffects(now),
      peers: () => this.peers,
    });
    this.#replica.voters.follow();
    this.#drainEffects(now);
  }

  /** The election, at this voter. */
  get elector(): Elector {
    return this.#replica.elector;
  }
  /** The replicated state, at this voter. */
  get state(): ReplicatedState {
    return this.#replica.state;
  }
  /** The updates that this node has and sends on to its children. */
  get relay(): Relay {
    return this.#replica.relay;
  }
  /** Whether this node's replica may count in majorities. */
  get replicaStatus(): ReplicaStatus {
    return this.#replica.replicaStatus;
  }
  /** Whether this node leads and has taken over the state. */
  get isServing(): boolean {
    return this.#replica.leadership.isServing;
  }
  /** All voters of the newest configuration known here; those of both sets during a joint configuration. */
  get voters(): readonly NodeId[] {
    return this.#replica.voters.quorum.all;
  }
  /** The voters of each set in effect: one set, or two during a joint configuration. */
  get voterSets(): readonly (readonly NodeId[])[] {
    return this.#replica.voters.quorum.memberSets;
  }
  /** How many orders this node has sent to runners since its start. */
  get ordersSent(): number {
    return this.#components.placement.ordersSent;
  }
  /** How many writes of the placement this node has begun since its start. */
  get placementWrites(): number {
    return this.#components.placement.writes;
  }

  /** A snapshot of this node for its metrics. */
  metrics(now: Moment): ControlMetrics {
    const { repair, sessions, drainingRunners } = this.#components;
    const mayOrder = (now: Moment) => this.mayOrder(now);
    return metricsOf(now, {
      ...this.#replica,
      repair,
      sessions,
      drainingRunners,
      mayOrder,
    });
  }

  /** Removes and returns the effects to carry out, in order. */
  drain(): ControlEffect[] {
    return this.#replica.effects.drain();
  }

  /** Whether an order may be sent to a runner at this moment; checked again right before each write. */
  mayOrder(now: Moment): boolean {
    const { elector, leadership } = this.#replica;
    return !this.#isRetiring && elector.mayOrder(now) && leadership.isServing;
  }

  /** When the lease ends unless it is renewed; no order may be sent after that. */
  leaseEnd(): Moment {
    return this.#replica.elector.leaseEnd;
  }

  /** Replaces the seed nodes after a change of the settings; they are contacted while no leader is known. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
  }

  /** The ids of all nodes that this node needs a connection to. */
  get peers(): readonly string[] {
    const ids = new Set<string>(this.voters);
    if (this.#isWithoutLeader()) for (const seed of this.#seeds) ids.add(seed);
    ids.delete(this.#replica.me);
    return [...ids];
  }

  /** Whether a planned stop is waiting until this voter is replaced. */
  get isHandingOver(): boolean {
    return this.#components.membership?.isHandingOver ?? false;
  }

  // ---- inputs

  /** Advances all timers; called every 50 ms. */
  tick(now: Moment): void {
    const { stateMessages, memberMessages, takeover, forwarding, edits, placement } =
      this.#components;
    this.#replica.elector.tick(now);
    stateMessages.tick(now);
    this.#replica.state.tick(now);
    memberMessages.tick(now);
    takeover.tick(now);
    forwarding.tick(now);
    edits.tick(now);
    this.#completeReplacement(now);
    this.#components.membership?.tick(now);
    placement.tick(now, takeover.isRecovering);
    this.#components.drainingRunners?.tick(now);
    this.#drainEffects(now);
  }

  /** A message from another node; `zone` is the zone of that node, '' if it is unknown. */
  onMessage(now: Moment, from: string, message: Message, zone: string = ''): void {
    const { forwarding, zones, stateMessages, memberMessages } = this.#components;
    forwarding.onHeard(from);
    if (zone !== '' && this.#isVoter(from)) zones.onZoneReported(from, zone);
    const isHandled =
      stateMessages.onMessage(now, nodeId(from), message) ||
      memberMessages.onMessage(now, from, message) ||
      this.#onMembershipMessage(now, from, message) ||
      this.#onCommandMessage(now, from, message);
    if (!isHandled) this.#onElectionMessage(now, from, message);
    this.#drainEffects(now);
  }

  /** The connection to a node closed. */
  onDisconnect(now: Moment, from: string): void {
    this.#components.tree.onDisconnect(from);
    this.#components.forwarding.onDisconnect(from);
    this.#components.tree.reassignParents();
    this.#drainEffects(now);
  }

  /** The `store` effect for this version of a partition has completed: the version is on disk. */
  onPersisted(now: Moment, partition: PartitionName, version: Version): void {
    const { votes, elector } = this.#replica;
    if (partition === VOTE_RECORD) {
      votes.onPersisted(version, (token) => elector.onPersisted(token));
      this.#components.repair.onVotePersisted(version);
    } else {
      this.#components.stateMessages.onPersisted(now, partition, version);
    }
    this.#drainEffects(now);
  }

  /** The platform's list of machines, as a deployment with the policy table polls it. */
  onMachines(now: Moment, machines: Machines): void {
    this.#components.updates.onMachineList(machines);
    this.#drainEffects(now);
  }

  /** The platform's list of runners, as polled. */
  onRunnerList(now: Moment, runners: readonly ListedRunner[]): void {
    const { placement, drainingRunners } = this.#components;
    placement.onRunnerList(now, runners);
    if (this.isServing) drainingRunners?.onListReadAsLeader(now);
    else drainingRunners?.onRunnerList(now, runners);
    this.#drainEffects(now);
  }

  /** A runner's status, polled at `askedAt`; `undefined` if the poll failed. */
  onRunnerStatus(
    now: Moment,
    runner: string,
    askedAt: Moment,
    status: RunnerStatus | undefined,
  ): void {
    this.#components.placement.onRunnerStatus(now, runner, askedAt, status);
    this.#drainEffects(now);
  }

  /** The catalog of the weight store, as polled. */
  onCatalog(_now: Moment, catalog: Catalog): void {
    this.#components.placement.table.onCatalog(catalog);
  }

  /** A runner's report, polled at `askedAt`; `undefined` if the poll failed. */
  onRunnerReport(now: Moment, id: string, askedAt: Moment, report: RunnerReport | undefined): void {
    this.#components.placement.table.onReport(now, id, askedAt, report);
  }

  /** The outcome of an order that was sent to a runner. */
  onOrderOutcome(now: Moment, intent: string, outcome: OrderResult | 'turnedAway'): void {
    this.#components.placement.onOrderOutcome(now, intent, outcome);
    if (this.#isDeployed) this.#drainEffects(now);
  }

  /** A command from this node's own API; the answer is a `reply` effect with this id. */
  onCommand(now: Moment, id: number, verb: string, body: string): void {
    this.#components.commands.onCommand(now, id, verb, body);
    this.#drainEffects(now);
  }

  /**
   * Begins or continues a planned stop: waits for a replacement and for the outcomes of orders, then releases the lease.
   * Returns whether the node may stop now. While an order may still be in flight the lease is not released: it expires.
   */
  retire(now: Moment): boolean {
    const { membership, placement } = this.#components;
    this.#isRetiring = true;
    const mustStay = membership?.mustStayVoter(now) ?? false;
    this.#drainEffects(now);
    if (mustStay || placement.hasOpenOrders) return false;
    this.#replica.elector.retire(now);
    this.#drainEffects(now);
    return true;
  }

  // ---- messages by kind

  /** Announcements and departures of voters in a deployment, and of draining runners while there is no leader. */
  #onMembershipMessage(now: Moment, from: string, message: Message): boolean {
    const { membership, drainingRunners } = this.#components;
    switch (message.kind) {
      case 'announce':
        membership?.onAnnounce(now, from, message);
        return true;
      case 'leave':
        membership?.onLeave(now, from, message);
        return true;
      case 'leaveReply':
        membership?.onLeaveReply(message);
        return true;
      case 'leaving':
        drainingRunners?.onDrainingRunners(now, from, message.runners);
        return true;
      default:
        return false;
    }
  }

  #onCommandMessage(now: Moment, from: string, message: Message): boolean {
    switch (message.kind) {
      case 'command':
        this.#components.commands.onForwardedCommand(now, from, message);
        return true;
      case 'commandReply':
        this.#components.forwarding.onReply(from, message);
        return true;
      default:
        return false;
    }
  }

  #onElectionMessage(now: Moment, from: string, message: Message): void {
    const { elector } = this.#replica;
    this.#onCandidate(from, message);
    elector.onMessage(now, nodeId(from), message);
    if (message.kind !== 'victory' && message.kind !== 'renew') return;
    // Both carry the leader's clock, which limits the age of forwarded commands.
    if (elector.leader === from && elector.epoch === message.epoch)
      this.#components.forwarding.onLeaderClock(leaderClockOf(message));
  }

  /** Requests updates from a candidate that is not a known voter: it may have a newer configuration. */
  #onCandidate(from: string, { kind }: Message): void {
    const isOfCandidate = kind === 'propose' || kind === 'victory' || kind === 'renew';
    if (this.#isDeployed && isOfCandidate && !this.#isVoter(from))
      this.#components.updates.request(from);
  }

  // ---- effects of the election and of the replicated state

  #drainEffects(now: Moment): void {
    const { elector, state, voters } = this.#replica;
    const { takeover, updates } = this.#components;
    takeover.update(now);
    for (let hasEffects = true; hasEffects;) {
      const voteEffects = elector.drain();
      for (const effect of voteEffects) this.#applyVoteEffect(effect);
      const stateEffects = state.drain();
      for (const effect of stateEffects) this.#applyStateEffect(now, effect);
      hasEffects = voteEffects.length + stateEffects.length > 0;
      voters.follow();
      takeover.update(now);
    }
    updates.flush();
  }

  #applyVoteEffect(effect: VoteEffect): void {
    if (effect.do === 'send') this.#replica.effects.send(effect.to, effect.message);
    else if (this.#components.repair.mayPersistVotes)
      this.#replica.votes.persist(effect.token, effect.record);
  }

  #applyStateEffect(now: Moment, effect: ReplicatedStateEffect): void {
    const { effects, voters } = this.#replica;
    if (effect.do === 'send') effects.send(effect.to, effect.message);
    else if (effect.do === 'store') effects.add(effect);
    else if (effect.do === 'serving') this.#components.takeover.beginServing(now);
    else if (effect.do === 'voters') voters.onConfigRead(effect);
    else if (effect.partition === CONFIG_PARTITION) this.#onConfigCommitted(now, effect);
    else this.#onServicesCommitted(now, effect);
  }

  #onServicesCommitted(now: Moment, { partition, version }: CommittedEffect): void {
    const { placement, writer } = this.#components;
    const body = parseAs(ServicePartitionShape, writer.takeCommitted(partition, version));
    placement.onCommitted(now, body?.services ?? []);
  }

  #onConfigCommitted(
    now: Moment,
    { version, tokens, members: reportedMembers }: CommittedEffect,
  ): void {
    const { document, edits, members } = this.#components;
    const { voters, elector, me } = this.#replica;
    document.onCommitted(version);
    voters.follow();
    edits.onCommitted(now, version, tokens, [...reportedMembers, ...members.possible(now)]);
    // A leader that is no longer a voter steps down, except in a planned stop, where `retire` releases the lease.
    if (!this.#isRetiring && !voters.quorum.includes(me)) elector.stepDown();
  }

  /** Completes an operator's replacement of a voter; in a deployment `VoterMembership` does so. */
  #completeReplacement(now: Moment): void {
    if (!this.#isDeployed && this.isServing) this.#components.voterSet.completeReplacement(now);
  }

  // ---- voters

  #isVoter(id: string): boolean {
    return this.#replica.voters.quorum.includes(nodeId(id));
  }

  /** Whether this node knows no leader, or is not a voter in the configuration that it knows. */
  #isWithoutLeader(): boolean {
    const { me, elector } = this.#replica;
    return !this.#isVoter(me) || elector.leader === undefined;
  }
}
