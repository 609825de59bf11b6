import { parseAs } from '../common/json.js';
import { nodeId, type NodeId, type Moment, type PartName } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { Version } from '../common/version.js';
import type { Relay } from '../dissemination/relay.js';
import type { Elector } from '../election/elector.js';
import type { VoteEffect } from '../election/vote-effect.js';
import { VOTE_DEFAULTS, type VoteSettings } from '../election/vote-settings.js';
import type { ListedRunner, RunnerStatus } from '../placement/fleet.js';
import { PLACER_DEFAULTS, type PlacerSettings } from '../placement/placer-types.js';
import {
  ServicePartShape,
  type Catalog,
  type Machines,
  type RunnerReport,
} from '../placement/shapes.js';
import { CONFIG_PART, VOTE_PART } from '../state/part-names.js';
import type { ReplicatedState, ReplicatedStateEffect } from '../state/replicated-state.js';
import type { ReplicaStatus } from '../state/replica-status.js';
import type { StoredPart } from '../state/store.js';
import { ControlDuties } from './control-duties.js';
import type { ControlEffect, ControlSettings, OrderResult } from './control-effect.js';
import type { ControlMetrics } from './control-metrics.js';
import { makeReplica, type ControlReplica } from './control-replica.js';
import { metricsOf } from './control-snapshot.js';
import { leaderTimeOf } from './order-forwarding.js';

type CommittedEffect = Extract<ReplicatedStateEffect, { do: 'committed' }>;

/**
 * The core of a control node: election, shared state, sessions, updates, configuration and placement, as one pure state
 * machine. It is told messages, ticks and what the outside returned, and drains effects. The work is done by its duties;
 * here is who hears what, and in which order.
 */
export class ControlCore {
  readonly #replica: ControlReplica;
  readonly #duties: ControlDuties;
  readonly #isDeployed: boolean;
  #seeds: readonly string[];
  #isRetiring = false;

  constructor(
    settings: ControlSettings,
    stored: readonly StoredPart[],
    now: Moment,
    vote: VoteSettings = VOTE_DEFAULTS,
    placer: PlacerSettings = PLACER_DEFAULTS,
  ) {
    this.#seeds = settings.seeds;
    this.#isDeployed = settings.deployed !== undefined;
    this.#replica = makeReplica(settings, stored, now, vote);
    this.#duties = new ControlDuties(settings, placer, this.#replica, now, {
      mayOrder: (now) => this.mayOrder(now),
      collect: (now) => this.#collect(now),
      peers: () => this.#listPeers(),
    });
    this.#replica.voters.follow();
    this.#collect(now);
  }

  get elector(): Elector {
    return this.#replica.elector;
  }
  get parts(): ReplicatedState {
    return this.#replica.parts;
  }
  get relay(): Relay {
    return this.#replica.relay;
  }
  /** Whether this node's replica may count. */
  get standing(): ReplicaStatus {
    return this.#replica.replicaStatus;
  }
  /** Whether this node leads and has taken over the state. */
  get isServing(): boolean {
    return this.#replica.leadership.isServing;
  }
  get voters(): readonly NodeId[] {
    return this.#replica.voters.quorum.all;
  }
  get ordersSent(): number {
    return this.#duties.placement.ordersSent;
  }
  get placementWrites(): number {
    return this.#duties.placement.writes;
  }

  /** One look at this node, for its metrics; nothing changes by it. */
  metrics(now: Moment): ControlMetrics {
    const { repair, sessions, drainingRunners } = this.#duties;
    const mayOrder = (now: Moment) => this.mayOrder(now);
    return metricsOf(now, {
      ...this.#replica,
      repair,
      sessions,
      drainingRunners,
      mayOrder,
    });
  }

  /** Takes the effects that are to be carried out, in their order. */
  drain(): ControlEffect[] {
    return this.#replica.effects.drain();
  }

  /** Asked by the executor right before an order is written. */
  mayOrder(now: Moment): boolean {
    const { elector, leadership } = this.#replica;
    return !this.#isRetiring && elector.mayOrder(now) && leadership.isServing;
  }

  /** Until when orders may be given, unless the lease is renewed. */
  leaseEnd(): Moment {
    return this.#replica.elector.leaseEnd;
  }

  /** Whom the settings name now; they are asked for voters where none is heard of. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
  }

  /** Everybody that this node wants a connection to. */
  get peers(): readonly string[] {
    const ids = new Set<string>(this.voters);
    if (this.#isLost()) for (const seed of this.#seeds) ids.add(seed);
    ids.delete(this.#replica.me);
    return [...ids];
  }

  /** Whether a planned stop waits for this node's seat to be taken over. */
  get isHandingOver(): boolean {
    return this.#duties.membership?.isHandingOver ?? false;
  }

  // ---- inputs

  tick(now: Moment): void {
    const { stateMessages, memberMessages, takeover, forwarding, orders, placement } = this.#duties;
    this.#replica.elector.tick(now);
    stateMessages.tick(now);
    this.#replica.parts.tick(now);
    memberMessages.tick(now);
    takeover.tick(now);
    forwarding.tick(now);
    orders.tick(now);
    this.#endSwap(now);
    this.#duties.membership?.tick(now);
    placement.tick(now, takeover.isRecovering);
    this.#duties.drainingRunners?.tick(now);
    this.#collect(now);
  }

  /** A message of another node; `zone` is where that one is, '' if it did not say. */
  receive(now: Moment, from: string, message: Message, zone: string = ''): void {
    const { forwarding, zones, stateMessages, memberMessages } = this.#duties;
    forwarding.heard(from);
    if (zone !== '' && this.#isVoter(from)) zones.onZoneReported(from, zone);
    const isTaken =
      stateMessages.receive(now, nodeId(from), message) ||
      memberMessages.receive(now, from, message) ||
      this.#receiveOfVoters(now, from, message) ||
      this.#receiveCommand(now, from, message);
    if (!isTaken) this.#receiveElection(now, from, message);
    this.#collect(now);
  }

  /** The connection to a node closed. */
  gone(now: Moment, from: string): void {
    this.#duties.tree.onDisconnect(from);
    this.#duties.forwarding.gone(from);
    this.#duties.tree.reassignParents();
    this.#collect(now);
  }

  /** A version of a part is on disk. */
  stored(now: Moment, part: PartName, version: Version): void {
    const { votes, elector } = this.#replica;
    if (part === VOTE_PART) {
      votes.stored(version, (token) => elector.kept(token));
      this.#duties.repair.voteStored(version);
    } else {
      this.#duties.stateMessages.stored(now, part, version);
    }
    this.#collect(now);
  }

  /** The platform's list of machines. */
  machines(now: Moment, machines: Machines): void {
    this.#duties.updates.onMachineList(machines);
    this.#collect(now);
  }

  /** The platform's list of runners. */
  list(now: Moment, runners: readonly ListedRunner[]): void {
    const { placement, drainingRunners } = this.#duties;
    placement.onRunnerList(now, runners);
    if (this.isServing) drainingRunners?.onListReadAsLeader(now);
    else drainingRunners?.onRunnerList(now, runners);
    this.#collect(now);
  }

  /** A runner's own report, asked for at that moment; nothing if it gave none. */
  status(now: Moment, runner: string, askedAt: Moment, status: RunnerStatus | undefined): void {
    this.#duties.placement.onRunnerStatus(now, runner, askedAt, status);
    this.#collect(now);
  }

  /** What the weight store holds. */
  catalog(_now: Moment, catalog: Catalog): void {
    this.#duties.placement.table.onCatalog(catalog);
  }

  /** What a runner returned to an ask sent at that moment; nothing if it did not. */
  reported(now: Moment, id: string, askedAt: Moment, report: RunnerReport | undefined): void {
    this.#duties.placement.table.onReport(now, id, askedAt, report);
  }

  /** What became of an order: taken, turned away for good, or unsure. */
  ordered(now: Moment, intent: string, outcome: OrderResult | 'turnedAway'): void {
    this.#duties.placement.onOrderOutcome(now, intent, outcome);
    if (this.#isDeployed) this.#collect(now);
  }

  /** A command at this node's own API. */
  command(now: Moment, id: number, verb: string, body: string): void {
    this.#duties.commands.take(now, id, verb, body);
    this.#collect(now);
  }

  /**
   * Before a planned stop: hands the lease back, if no order's outcome is open. Says whether it may stop now.
   * An order that may still be under way keeps the lease bound until it runs out by itself.
   */
  retire(now: Moment): boolean {
    const { membership, placement } = this.#duties;
    this.#isRetiring = true;
    const mustStay = membership?.mustKeepSeat(now) ?? false;
    this.#collect(now);
    if (mustStay || placement.hasOpenOrders) return false;
    this.#replica.elector.retire(now);
    this.#collect(now);
    return true;
  }

  // ---- messages by family

  /** Voters of a deployment announce themselves, say when they leave, and who leaves while nobody leads. */
  #receiveOfVoters(now: Moment, from: string, message: Message): boolean {
    const { membership, drainingRunners } = this.#duties;
    switch (message.kind) {
      case 'announce':
        membership?.receiveAnnounce(now, from, message);
        return true;
      case 'leave':
        membership?.receiveLeave(now, from, message);
        return true;
      case 'leaveReply':
        membership?.receiveLeaveReply(message);
        return true;
      case 'leaving':
        drainingRunners?.onDrainingRunners(now, from, message.runners);
        return true;
      default:
        return false;
    }
  }

  #receiveCommand(now: Moment, from: string, message: Message): boolean {
    switch (message.kind) {
      case 'command':
        this.#duties.commands.receive(now, from, message);
        return true;
      case 'commandReply':
        this.#duties.forwarding.answered(from, message);
        return true;
      default:
        return false;
    }
  }

  #receiveElection(now: Moment, from: string, message: Message): void {
    const { elector } = this.#replica;
    this.#noteCandidate(from, message);
    elector.receive(now, nodeId(from), message);
    if (message.kind !== 'victory' && message.kind !== 'renew') return;
    // A renewal tells the leader's clock; what is known of it bounds the age of the orders passed on.
    if (elector.leader === from && elector.epoch === message.epoch)
      this.#duties.forwarding.noteLeaderTime(leaderTimeOf(message));
  }

  /** One that is not among the voters known here stands for election: there may be a newer configuration. */
  #noteCandidate(from: string, { kind }: Message): void {
    const isOfCandidate = kind === 'propose' || kind === 'victory' || kind === 'renew';
    if (this.#isDeployed && isOfCandidate && !this.#isVoter(from))
      this.#duties.updates.request(from);
  }

  // ---- what the election and the replicated state decide

  #collect(now: Moment): void {
    const { elector, parts, voters } = this.#replica;
    const { takeover, updates } = this.#duties;
    takeover.watch(now);
    for (let isBusy = true; isBusy;) {
      const decided = elector.drain();
      for (const effect of decided) this.#obeyElection(effect);
      const changed = parts.drain();
      for (const effect of changed) this.#obeyState(now, effect);
      isBusy = decided.length + changed.length > 0;
      voters.follow();
      takeover.watch(now);
    }
    updates.flush();
  }

  #obeyElection(effect: VoteEffect): void {
    if (effect.do === 'send') this.#replica.effects.send(effect.to, effect.message);
    else if (this.#duties.repair.mayKeepVotes)
      this.#replica.votes.keep(effect.token, effect.record);
  }

  #obeyState(now: Moment, effect: ReplicatedStateEffect): void {
    const { effects, voters } = this.#replica;
    if (effect.do === 'send') effects.send(effect.to, effect.message);
    else if (effect.do === 'store') effects.add(effect);
    else if (effect.do === 'serving') this.#duties.takeover.serve(now);
    else if (effect.do === 'voters') voters.noteRead(effect);
    else if (effect.part === CONFIG_PART) this.#commitConfig(now, effect);
    else this.#commitServices(now, effect);
  }

  #commitServices(now: Moment, { part, version }: CommittedEffect): void {
    const { placement, writer } = this.#duties;
    const body = parseAs(ServicePartShape, writer.take(part, version));
    placement.onCommitted(now, body?.services ?? []);
  }

  #commitConfig(now: Moment, { version, tokens, members: named }: CommittedEffect): void {
    const { document, orders, members } = this.#duties;
    const { voters, elector, me } = this.#replica;
    document.commit(version);
    voters.follow();
    orders.committed(now, version, tokens, [...named, ...members.possible(now)]);
    // Let go by the voters: a seat that is handed over as planned gives the lease back itself, any other leader steps down.
    if (!this.#isRetiring && !voters.quorum.holds(me)) elector.stepDown();
  }

  /** Where an operator exchanges voters, their change is ended here; in a deployment by the membership. */
  #endSwap(now: Moment): void {
    if (!this.#isDeployed && this.isServing) this.#duties.voterSet.endSwap(now);
  }

  // ---- who votes

  #listPeers(): readonly string[] {
    return this.peers;
  }

  #isVoter(id: string): boolean {
    return this.#replica.voters.quorum.holds(nodeId(id));
  }

  /** No voter as far as we know, or without a leader. */
  #isLost(): boolean {
    const { me, elector } = this.#replica;
    return !this.#isVoter(me) || elector.leader === undefined;
  }
}
