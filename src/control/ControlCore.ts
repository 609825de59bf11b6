import { type } from 'superstruct';
import { allParts, CONFIG_PART, VOTE_PART } from '../state/PartNames.js';
import { ReplicatedState } from '../state/ReplicatedState.js';
import { ReplicaStatus } from '../state/ReplicaStatus.js';
import type { StoredPart } from '../state/Store.js';
import { CodedError, codedErrorOf } from '../common/CodedError.js';
import { nodeId, later, moment, type NodeId, type Moment, type PartName } from '../common/Ids.js';
import { mustParseAs, parseAs } from '../common/Json.js';
import type { MemberMessage, Message } from '../common/Messages.js';
import { Quorum } from '../common/Quorum.js';
import { versionText, type Version } from '../common/Version.js';
import { Relay } from '../dissemination/Relay.js';
import { Sessions } from '../dissemination/Sessions.js';
import { PLACER_DEFAULTS, type PlacerSettings } from '../placement/Placer.js';
import {
  ServicePartShape,
  type Catalog,
  type Intent,
  type Machines,
  type RunnerReport,
  type ServiceDoc,
} from '../placement/Shapes.js';
import { Elector } from '../election/Elector.js';
import { VOTE_DEFAULTS, type VoteSettings } from '../election/VoteSettings.js';
import { encodeConfigDoc } from './ConfigCodec.js';
import type { ListedRunner, RunnerStatus } from '../placement/Fleet.js';
import { TableManager } from './TableManager.js';
import { ControlCounters, sessionNumbers, type ControlMetrics } from './ControlMetrics.js';
import { FleetManager } from './FleetManager.js';
import { KnownMembers } from './KnownMembers.js';
import type { ControlEffect, ControlSettings, OrderResult } from './ControlEffect.js';
import { quorumOf } from './ConfigVoters.js';
import { ControlNodeZones } from './ControlNodeZones.js';
import { FollowedVoters } from './FollowedVoters.js';
import { EffectQueue } from './EffectQueue.js';
import { errorAnswer, type Origin } from './OrderAnswers.js';
import { OperatorOrders, type Commit } from './OperatorOrders.js';
import { leaderTimeOf, OrderForwarding } from './OrderForwarding.js';
import { Leadership } from './Leadership.js';
import { QuorumReads } from './QuorumReads.js';
import { ConfigDocument } from './ConfigDocument.js';
import { PartWriter } from './PartWriter.js';
import { ReplicaRepair } from './ReplicaRepair.js';
import { readVotes, VoteStorage } from './VoteStorage.js';
import { RelayTree } from './RelayTree.js';
import { UpdateExchange } from './UpdateExchange.js';
import { VoterMembership, type MembershipHost } from './VoterMembership.js';
import type { VotersChange } from './VoterPlan.js';

/** How long members are waited for when the table is recovered from them. */
const RECOVER_MS = 2000;
const NEVER = moment(-1e12);

/**
 * The core of a control node: election, shared state, sessions, news, configuration and placement,
 * as one pure state machine. It is told messages, ticks and what the outside returned, and drains effects.
 */
export class ControlCore {
  readonly #settings: ControlSettings;
  readonly #me: NodeId;
  readonly #elector: Elector;
  readonly #parts: ReplicatedState;
  readonly #replicaStatus: ReplicaStatus;
  readonly #sessions: Sessions;
  readonly #members: KnownMembers;
  readonly #relay = new Relay();
  readonly #tree: RelayTree;
  readonly #leadership = new Leadership();
  readonly #reads: QuorumReads;
  readonly #table: TableManager;
  readonly #updates: UpdateExchange;
  readonly #voters: FollowedVoters;
  readonly #effects = new EffectQueue();
  readonly #counters = new ControlCounters();

  readonly #votes: VoteStorage;
  readonly #repair: ReplicaRepair;
  #wasLeader = '';
  readonly #writer: PartWriter;
  readonly #document: ConfigDocument;
  readonly #orders: OperatorOrders;
  readonly #forwarding: OrderForwarding;
  #isRetiring = false;
  #isRecovering = false;
  #recoverUntil: Moment | undefined;
  #machinesAt: Moment = NEVER;
  #peersPingedAt: Moment = NEVER;
  #placementWrites = 0;

  /** Set where a deployment brings its own planner. */
  readonly #fleetManager: FleetManager | undefined;
  #seeds: readonly string[];
  readonly #zones: ControlNodeZones;
  /** Set in a deployment, where voters change by themselves. */
  readonly #membership: VoterMembership | undefined;

  constructor(
    settings: ControlSettings,
    stored: readonly StoredPart[],
    now: Moment,
    vote: VoteSettings = VOTE_DEFAULTS,
    placer: PlacerSettings = PLACER_DEFAULTS,
  ) {
    this.#settings = settings;
    this.#me = nodeId(settings.me);
    const seeds = settings.seeds.map(nodeId);
    const { status, count, record } = readVotes(stored);
    this.#votes = new VoteStorage(this.#effects, count, record?.grantEpoch ?? 0);
    const quorum = new Quorum(seeds);
    this.#parts = new ReplicatedState(this.#me, quorum, allParts(), stored, quorumOf);
    this.#writer = new PartWriter(this.#parts);
    this.#document = new ConfigDocument({
      seeds: settings.seeds,
      parts: this.#parts,
      writer: this.#writer,
      relay: this.#relay,
    });
    this.#elector = new Elector(this.#me, quorum, vote, now, record);
    this.#voters = new FollowedVoters(quorum, {
      elector: this.#elector,
      parts: this.#parts,
      relay: settings.deployed && this.#relay,
      counters: this.#counters,
    });
    this.#zones = new ControlNodeZones(this.#me, settings.zone, this.#elector);
    this.#replicaStatus = new ReplicaStatus(
      this.#me,
      status,
      now,
      settings.foundMs,
      settings.incarnation,
      settings.deployed?.isFirstStart ?? true,
      quorumOf,
    );
    this.#repair = new ReplicaRepair({
      me: this.#me,
      elector: this.#elector,
      parts: this.#parts,
      replicaStatus: this.#replicaStatus,
      votes: this.#votes,
      voters: this.#voters,
      counters: this.#counters,
      effects: this.#effects,
      hasSpares: settings.deployed !== undefined,
      collect: this.#collect.bind(this),
    });
    this.#seeds = settings.seeds;
    this.#fleetManager =
      settings.deployed &&
      new FleetManager(settings.deployed, {
        effects: this.#effects.add.bind(this.#effects),
        write: this.#writePlaced.bind(this),
        publish: this.#publishFleet.bind(this),
        mayOrder: this.mayOrder.bind(this),
        flows: this.#countMembers.bind(this),
      });
    this.#membership = settings.deployed && new VoterMembership(this.#membershipHost(), now);
    this.#orders = new OperatorOrders(
      {
        newest: this.#document.newest.bind(this.#document),
        committed: this.#document.committed.bind(this.#document),
        write: this.#document.write.bind(this.#document),
        confirm: this.#confirmRefusal.bind(this),
        answer: this.#effects.answer.bind(this.#effects),
        isInForce: this.#isInForce.bind(this),
      },
      settings.deployed?.dialect,
      this.#counters,
    );
    this.#forwarding = new OrderForwarding(
      {
        leader: this.#otherLeader.bind(this),
        send: this.#effects.send.bind(this.#effects),
        answer: this.#effects.answer.bind(this.#effects),
      },
      this.#counters,
      settings.incarnation,
      now,
    );
    if (status !== 'sound')
      this.#elector.setMayVote(false, { epoch: 0, grantEpoch: 0, grantLeader: '' }, now);
    this.#sessions = new Sessions(settings.silentMs, settings.blindMs * 2);
    this.#tree = new RelayTree({
      sessions: this.#sessions,
      relay: this.#relay,
      effects: this.#effects,
      fedNodes: this.#fedNodes.bind(this),
    });
    this.#members = new KnownMembers(this.#sessions, settings.blindMs, now);
    this.#table = new TableManager(
      {
        effect: this.#effects.add.bind(this.#effects),
        write: this.#writePlaced.bind(this),
        publish: this.#publishPlaces.bind(this),
        mayOrder: this.mayOrder.bind(this),
        proxies: this.#countMembers.bind(this),
      },
      placer,
      settings.me,
      settings.reportMs,
    );
    this.#updates = new UpdateExchange({
      me: this.#me,
      relay: this.#relay,
      tree: this.#tree,
      members: this.#members,
      table: this.#table,
      voters: this.#voters,
      effects: this.#effects,
      followsTold: settings.deployed !== undefined,
    });
    this.#reads = new QuorumReads({
      me: this.#me,
      incarnation: settings.incarnation,
      parts: this.#parts,
      replicaStatus: this.#replicaStatus,
      relay: this.#relay,
      voters: this.#voters,
      members: this.#members,
      leadership: this.#leadership,
      table: this.#table,
      updates: this.#updates,
      effects: this.#effects,
      needsMachines: settings.deployed === undefined,
      confirmed: this.#orders.confirmed.bind(this.#orders),
    });
    this.#voters.follow();
    this.#collect(now);
  }

  get elector(): Elector {
    return this.#elector;
  }
  get parts(): ReplicatedState {
    return this.#parts;
  }
  get relay(): Relay {
    return this.#relay;
  }
  get standing(): ReplicaStatus {
    return this.#replicaStatus;
  }
  get isServing(): boolean {
    return this.#leadership.isServing;
  }
  get voters(): readonly NodeId[] {
    return this.#voters.quorum.all;
  }
  get ordersSent(): number {
    return this.#table.ordersSent + (this.#fleetManager?.ordersSent ?? 0);
  }
  get placementWrites(): number {
    return this.#placementWrites;
  }

  /** One look at this node, for its metrics; nothing changes by it. */
  metrics(now: Moment): ControlMetrics {
    const contact = this.#elector.majorityContact(now);
    const committed = this.#relay.version('config');
    return {
      epoch: this.#elector.epoch,
      isLeaderKnown: this.#elector.leader !== undefined,
      isLeading: this.#elector.isLeading(),
      isServing: this.#leadership.isServing,
      mayOrder: this.mayOrder(now),
      leaseLeftMs: Math.max(0, this.#elector.leaseEnd - now),
      majorityContactAgeMs: contact === undefined ? undefined : now - contact,
      voters: {
        members: this.#voters.quorum.all.length,
        reachable: this.#elector.reachableVoters(now),
        isVoter: this.#voters.quorum.holds(this.#me),
        isJoint: this.#voters.quorum.sets > 1,
      },
      replica: this.#repair.isUnderWay ? 'repairing' : this.#replicaStatus.name,
      unsoundParts: this.#parts.unsoundParts().length,
      configHeld: this.#parts.versionOf(CONFIG_PART),
      configCommitted: committed,
      orders: this.#counters.orders,
      events: this.#counters.eventsWith({
        electionsStarted: this.#elector.electionsStarted,
        votesGranted: this.#elector.votesGranted,
        copiesMended: this.#parts.mends,
      }),
      sessions: sessionNumbers(this.#sessions.up(), committed),
    };
  }

  drain(): ControlEffect[] {
    return this.#effects.drain();
  }

  /** Asked by the executor right before an order is written. */
  mayOrder(now: Moment): boolean {
    return !this.#isRetiring && this.#elector.mayOrder(now) && this.#leadership.isServing;
  }

  leaseEnd(): Moment {
    return this.#elector.leaseEnd;
  }

  /** Whom the settings name now; they are asked for voters where none is heard of. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
  }

  /** Everybody that this node wants a line to. */
  get peers(): readonly string[] {
    const ids = new Set<string>(this.#voters.quorum.all);
    if (this.#isLost()) for (const seed of this.#seeds) ids.add(seed);
    ids.delete(this.#me);
    return [...ids];
  }

  // ---- inputs

  tick(now: Moment): void {
    this.#elector.tick(now);
    for (const send of this.#replicaStatus.tick(now, this.#voters.quorum))
      this.#effects.send(send.to, send.message);
    this.#repair.settle(now, this.#replicaStatus.outcome(now, this.#voters.quorum));
    this.#parts.tick(now);
    this.#sessions.tick(now);
    this.#members.tick(now);
    this.#reads.tick(now);
    this.#tickPeers(now);
    this.#tickCommands(now);
    this.#membership?.tick(now);
    this.#tickOutside(now);
    this.#collect(now);
  }

  receive(now: Moment, from: string, message: Message, zone: string = ''): void {
    this.#forwarding.heard(from);
    if (zone !== '' && this.#voters.quorum.holds(nodeId(from))) this.#zones.note(from, zone);
    switch (message.kind) {
      case 'read':
        if (message.epoch === 0)
          this.#effects.send(
            from,
            this.#replicaStatus.replyTo(
              message.nonce,
              this.#elector.epoch,
              this.#parts.copies(),
              this.#elector.record.grantEpoch > 0,
            ),
          );
        else
          this.#parts.receive(
            now,
            nodeId(from),
            message,
            this.#grantedEpoch(),
            [],
            this.#replicaStatus.name,
          );
        break;
      case 'readReply':
        if (message.sound)
          this.#parts.receive(now, nodeId(from), message, this.#grantedEpoch(), [], '');
        else
          this.#repair.settle(
            now,
            this.#replicaStatus.receive(now, nodeId(from), message, this.#voters.quorum),
          );
        break;
      case 'write':
        this.#parts.receive(
          now,
          nodeId(from),
          message,
          this.#grantedEpoch(),
          this.#members.possible(now),
          this.#replicaStatus.name,
        );
        break;
      case 'writeReply':
      case 'digest':
      case 'digestReply':
        // Only a write's return names members.
        this.#parts.receive(
          now,
          nodeId(from),
          message,
          this.#grantedEpoch(),
          [],
          this.#replicaStatus.name,
        );
        break;
      case 'quorumRead':
        this.#reads.receive(now, from, message);
        break;
      case 'quorumReadReply':
        this.#reads.receiveReply(now, nodeId(from), message);
        break;
      case 'join':
        this.#receiveJoin(now, from, message);
        break;
      case 'freshnessRequest':
        this.#receiveFreshnessRequest(now, from, message);
        break;
      case 'ack':
        this.#sessions.ack(from, message);
        this.#members.noteAck(from, message);
        break;
      case 'acked':
        this.#receiveAcked(now, from, message.members);
        break;
      case 'announce':
        this.#membership?.receiveAnnounce(now, from, message);
        break;
      case 'leave':
        this.#membership?.receiveLeave(now, from, message);
        break;
      case 'leaveReply':
        this.#membership?.receiveLeaveReply(message);
        break;
      case 'update':
        this.#updates.receiveUpdate(message);
        break;
      case 'delta':
        this.#updates.receiveDelta(from, message);
        break;
      case 'demand':
        this.#receiveDemand(now, message.body);
        break;
      case 'command':
        this.#receiveCommand(now, from, message);
        break;
      case 'commandReply':
        this.#forwarding.answered(from, message);
        break;
      default:
        this.#noteCandidate(from, message);
        this.#elector.receive(now, nodeId(from), message);
        if (message.kind === 'victory' || message.kind === 'renew')
          this.#noteLeaderTime(from, message);
        break;
    }
    this.#collect(now);
  }

  /** The line to a node closed. */
  gone(now: Moment, from: string): void {
    this.#tree.gone(from);
    this.#forwarding.gone(from);
    this.#tree.redraw();
    this.#collect(now);
  }

  stored(now: Moment, part: PartName, version: Version): void {
    if (part === VOTE_PART) {
      this.#votes.stored(version, this.#elector.kept.bind(this.#elector));
      this.#repair.voteStored(version);
    } else {
      this.#parts.stored(part, version, this.#grantedEpoch(), now);
      this.#repair.stored(now, part);
    }
    this.#collect(now);
  }

  machines(now: Moment, machines: Machines): void {
    this.#updates.takeMachines(machines);
    this.#collect(now);
  }

  /** The platform's list of runners. */
  list(now: Moment, runners: readonly ListedRunner[]): void {
    if (this.#leadership.isServing) this.#fleetManager?.list(now, runners, this.#document.newest());
    this.#collect(now);
  }

  /** A runner's own report, asked for at that moment; nothing if it gave none. */
  status(now: Moment, runner: string, askedAt: Moment, status: RunnerStatus | undefined): void {
    if (this.#leadership.isServing) this.#fleetManager?.status(now, runner, askedAt, status);
    this.#collect(now);
  }

  catalog(_now: Moment, catalog: Catalog): void {
    this.#table.catalog(catalog);
  }

  /** What a runner returned to an ask sent at that moment; nothing if it did not. */
  reported(now: Moment, id: string, askedAt: Moment, report: RunnerReport | undefined): void {
    this.#table.reported(now, id, askedAt, report);
  }

  /** What became of an order: taken, turned away for good, or unsure. */
  ordered(now: Moment, intent: string, outcome: OrderResult | 'turnedAway'): void {
    if (this.#fleetManager) {
      if (this.#leadership.isServing)
        this.#fleetManager.ordered(
          now,
          intent,
          outcome === 'turnedAway' ? 'refused' : outcome,
          this.#document.newest(),
        );
      this.#collect(now);
      return;
    }
    this.#table.ordered(now, intent, outcome);
  }

  /** A command at this node's own API. */
  command(now: Moment, id: number, verb: string, body: string): void {
    this.#command(now, { from: '', id }, verb, body);
    this.#collect(now);
  }

  /**
   * Before a planned stop: hands the lease back, if no order's outcome is open. Says whether it may stop now.
   * An order that may still be under way keeps the lease bound until it runs out by itself.
   */
  retire(now: Moment): boolean {
    this.#isRetiring = true;
    const mustStay = this.#membership?.mustKeepSeat(now) ?? false;
    this.#collect(now);
    if (mustStay) return false;
    if (this.#table.hasOpenOrders) return false;
    if (this.#leadership.isServing && this.#fleetManager?.hasOpenOrders) return false;
    this.#elector.retire(now);
    this.#collect(now);
    return true;
  }

  /** Whether a planned stop waits for this node's seat to be taken over. */
  get isHandingOver(): boolean {
    return this.#membership?.isHandingOver ?? false;
  }

  // ---- effects of the inner cores

  #collect(now: Moment): void {
    this.#watchLeader(now);
    for (let isBusy = true; isBusy;) {
      isBusy = false;
      for (const effect of this.#elector.drain()) {
        isBusy = true;
        if (effect.do === 'send') {
          this.#effects.send(effect.to, effect.message);
          continue;
        }
        if (this.#repair.mayKeepVotes) this.#votes.keep(effect.token, effect.record);
      }
      for (const effect of this.#parts.drain()) {
        isBusy = true;
        if (effect.do === 'send') this.#effects.send(effect.to, effect.message);
        else if (effect.do === 'store') this.#effects.add(effect);
        else if (effect.do === 'serving') this.#serve(now);
        else if (effect.do === 'voters') this.#voters.noteRead(effect);
        else this.#committed(now, effect.part, effect.version, effect.tokens, effect.members);
      }
      this.#voters.follow();
      this.#watchLeader(now);
    }
    this.#updates.flush();
  }

  /** The epoch granted here, on disk, and not moved on from. */
  #grantedEpoch(): number {
    return this.#replicaStatus.name === 'sound' && this.#votes.keptGrant === this.#elector.epoch
      ? this.#votes.keptGrant
      : 0;
  }

  #watchLeader(now: Moment): void {
    const leader = this.#elector.leader ?? '';
    if (leader !== this.#wasLeader) {
      this.#wasLeader = leader;
      this.#counters.countLeaderChange();
      this.#effects.note('leader', {
        leader: leader === '' ? 'none' : leader,
        epoch: this.#elector.epoch,
      });
    }
    const epoch = this.#elector.isLeading() ? this.#elector.epoch : 0;
    if (epoch === this.#leadership.epoch) return;
    this.#leadership.begin(epoch);
    this.#standDown();
    if (epoch > 0) this.#parts.lead(now, epoch);
  }

  #standDown(): void {
    this.#recoverUntil = undefined;
    this.#parts.release();
    this.#voters.forgetRead();
    this.#table.end();
    this.#writer.clear();
    this.#orders.abandon();
    this.#reads.abandon();
  }

  // ---- voters of a deployment: they announce themselves, and the leader lets them in

  /** No voter as far as we know, or without a leader. */
  #isLost(): boolean {
    return !this.#voters.quorum.holds(this.#me) || this.#elector.leader === undefined;
  }

  #changeVoters(now: Moment, change: VotersChange): void {
    const doc = this.#document.newest();
    this.#effects.note('voters', { from: doc.voters.join(' | '), to: change.voters.join(' | ') });
    const seats = change.seats === undefined ? {} : { seats: change.seats };
    const changed = { ...doc, voters: change.voters.map(copyOf), ...seats };
    // Two sets decide together from here on, also on this very change. One alone is told to those let go as well.
    const joint = change.voters.length === 2 ? quorumOf(encodeConfigDoc(changed)) : undefined;
    if (joint) this.#voters.set(joint);
    this.#document.write(now, changed, 0);
  }

  #rewriteParts(now: Moment): void {
    for (const part of allParts())
      if (part !== CONFIG_PART) this.#writer.write(now, part, this.#parts.body(part), 0);
  }

  #membershipHost(): MembershipHost {
    return {
      me: this.#me,
      zone: this.#settings.zone,
      isFirstStart: this.#settings.deployed?.isFirstStart ?? false,
      elector: this.#elector,
      parts: this.#parts,
      relay: this.#relay,
      status: this.#replicaStatus,
      voters: this.#voters,
      peers: this.#currentPeers.bind(this),
      isServing: this.#isServingNow.bind(this),
      document: this.#document.newest.bind(this.#document),
      zoneOf: this.#zones.zoneOf.bind(this.#zones),
      send: this.#effects.send.bind(this.#effects),
      rewriteParts: this.#rewriteParts.bind(this),
      changeVoters: this.#changeVoters.bind(this),
    };
  }

  #currentPeers(): readonly string[] {
    return this.peers;
  }

  #isServingNow(): boolean {
    return this.#leadership.isServing;
  }

  /** One that is not among the voters known here stands for election: there may be a newer configuration. */
  #noteCandidate(from: string, message: Message): void {
    const isOfCandidate =
      message.kind === 'propose' || message.kind === 'victory' || message.kind === 'renew';
    if (!this.#membership || !isOfCandidate || this.#voters.quorum.holds(nodeId(from))) return;
    this.#updates.request(from);
  }

  // ---- members, vouching, news

  #receiveJoin(now: Moment, from: string, message: Extract<Message, { kind: 'join' }>): void {
    this.#tree.join(now, from, message);
    this.#replicaStatus.noteMember(message.epoch);
    this.#members.noteAck(from, message);
    if (!this.#fleetManager) return;
    this.#effects.send(from, {
      kind: 'controlNodes',
      controlNodes: this.#zones.list(now, this.#voters.quorum.all),
      leader: this.#elector.leader ?? '',
      ...this.#relay.version('config'),
    });
  }

  /** While it leads, a node feeds the other voters as well. */
  #fedNodes(): readonly string[] {
    if (!this.#elector.isLeading()) return [];
    return this.#voters.quorum.all.filter(isOther.bind(undefined, this.#me));
  }

  /** An ask from below: by a link of the tree, by one that cannot reach its parent, or by a peer for news alone. */
  #receiveFreshnessRequest(
    now: Moment,
    from: string,
    message: Extract<Message, { kind: 'freshnessRequest' }>,
  ): void {
    this.#relay.heard(from, message.have);
    if (message.nonce < 0) {
      this.#updates.answerOnce(from);
      return;
    }
    if (this.#fleetManager) {
      // Nobody here works by being confirmed fresh: the ask was for news, and its return says that we are there.
      this.#effects.send(from, {
        kind: 'freshnessReply',
        nonce: message.nonce,
        ...this.#relay.version('config'),
        marks: 0,
      });
      return;
    }
    this.#reads.confirmFresh(now, { child: from, nonce: message.nonce, members: message.members });
  }

  #receiveAcked(now: Moment, from: string, members: readonly MemberMessage[]): void {
    for (const member of members) this.#members.noteAck(member.id, member);
    if (this.#fleetManager) this.#members.noteHeard(now, from, members);
  }

  #countMembers(): number {
    return this.#members.count();
  }

  #tickPeers(now: Moment): void {
    if (now < later(this.#peersPingedAt, this.#fleetManager ? 500 : 250)) return;
    this.#peersPingedAt = now;
    this.#tree.redraw();
    const leader = this.#elector.leader;
    if (leader === undefined || leader === this.#me) return;
    this.#effects.send(leader, { kind: 'acked', members: [...this.#sessions.up()] });
    this.#updates.request(leader);
  }

  #receiveDemand(now: Moment, body: string): void {
    const leader = this.#elector.leader;
    if (leader !== undefined && leader !== this.#me) {
      this.#effects.send(leader, { kind: 'demand', body });
      return;
    }
    if (this.#fleetManager) {
      if (this.#leadership.isServing) this.#fleetManager.demand(now, body, this.#document.newest());
      return;
    }
    this.#table.demand(now, body);
  }

  // ---- owning the state

  #serve(now: Moment): void {
    this.#leadership.serve();
    this.#effects.note('serving', { epoch: this.#leadership.epoch });
    const isFound = this.#document.load();
    // Only committed tables are ever told: one told here that no majority holds any more was lost with their disks.
    if (this.#document.lostNews()) this.#isRecovering = true;
    if (this.#isRecovering) this.#recover(now);
    else this.#document.publishLoaded();
    const docs: ServiceDoc[] = [];
    for (const part of allParts()) {
      const text = part === CONFIG_PART ? '' : this.#parts.body(part);
      if (text !== '') docs.push(...mustParseAs(ServicePartShape, text, part).services);
    }
    if (this.#fleetManager) {
      // Whoever comes later must find the voters written down, whatever seeds it is told.
      if (!isFound) this.#document.write(now, this.#document.newest(), 0);
      this.#membership?.begin();
      this.#fleetManager.begin(now, docs, `${this.#me}/${this.#leadership.epoch}`);
      this.#fleetManager.tick(now, this.#document.newest());
      return;
    }
    this.#table.begin(now, docs, `${this.#me}/${this.#leadership.epoch}`);
  }

  /** After an operator's force-new-cluster, members are asked for the newest table they hold before anything is served. */
  #recover(now: Moment): void {
    this.#recoverUntil = later(now, RECOVER_MS);
    this.#updates.requestAll();
  }

  #endRecovery(now: Moment): void {
    this.#isRecovering = false;
    this.#recoverUntil = undefined;
    const lost = this.#document.lostNews();
    if (lost) this.#effects.note('table recovered from members', { table: lost.number });
    this.#document.recover(now, lost);
  }

  #committed(
    now: Moment,
    part: PartName,
    version: Version,
    tokens: readonly number[],
    members: readonly MemberMessage[],
  ): void {
    if (part !== CONFIG_PART) {
      const body = parseAs(ServicePartShape, this.#writer.take(part, version));
      if (this.#fleetManager) {
        if (this.#leadership.isServing) this.#fleetManager.kept(now, body?.services ?? []);
        return;
      }
      this.#table.kept(body?.services ?? []);
      return;
    }
    this.#document.commit(version);
    this.#voters.follow();
    this.#orders.committed(now, version, tokens, [...members, ...this.#members.possible(now)]);
    // Let go by the voters: a seat that is handed over as planned gives the lease back itself, any other leader steps down.
    if (!this.#isRetiring && !this.#voters.quorum.holds(this.#me)) this.#elector.stepDown();
  }

  // ---- commands

  #command(now: Moment, origin: Origin, verb: string, body: string): void {
    try {
      if (verb === 'status') {
        this.#effects.answer(origin, { status: 200, body: JSON.stringify(this.#status(now)) });
        return;
      }
      if (verb === 'found') {
        this.#found(now, origin);
        return;
      }
      this.#forwarding.checkAge(now, verb);
      if (this.#recoverUntil !== undefined)
        throw new CodedError('no-leader', 'the table is being recovered from the members');
      if (!this.#elector.isLeading() || !this.#leadership.isServing) {
        this.#forwarding.forward(now, origin, verb, body);
        return;
      }
      if (verb === 'read') this.#reads.read(origin);
      else if (verb === 'live')
        this.#effects.answer(origin, {
          status: 200,
          body: JSON.stringify(this.#table.live(now, this.#document.newest())),
        });
      else if (verb === 'fleet')
        this.#effects.answer(origin, {
          status: 200,
          body: JSON.stringify(this.#table.fleet(now, this.#document.newest())),
        });
      else this.#orders.submit(now, origin, verb, body);
    } catch (thrown) {
      this.#effects.answer(origin, errorAnswer(codedErrorOf(thrown)));
    }
  }

  #receiveCommand(now: Moment, from: string, message: Extract<Message, { kind: 'command' }>): void {
    const origin = { from, id: message.id };
    try {
      this.#forwarding.checkForwarded(now, this.#leadership.epoch, message);
    } catch (thrown) {
      this.#effects.answer(origin, errorAnswer(codedErrorOf(thrown)));
      return;
    }
    this.#command(now, origin, message.verb, message.body);
  }

  #otherLeader(): string | undefined {
    const { leader } = this.#elector;
    return leader === this.#me ? undefined : leader;
  }

  /** A renewal tells the leader's clock; what is known of it bounds the age of the orders passed on. */
  #noteLeaderTime(
    from: string,
    message: { readonly epoch: number; readonly sentAt: number },
  ): void {
    if (this.#elector.leader === from && this.#elector.epoch === message.epoch)
      this.#forwarding.noteLeaderTime(leaderTimeOf(message));
  }

  // ---- orders and reads by proof of a majority

  #confirmRefusal(): number {
    return this.#reads.confirmRefusal();
  }

  #tickCommands(now: Moment): void {
    if (this.#recoverUntil !== undefined && now >= this.#recoverUntil && this.#leadership.isServing)
      this.#endRecovery(now);
    this.#forwarding.tick(now);
    this.#orders.tick(now);
    // A spare that is to vote is taken in once it holds everything; then the old set is let go.
    if (
      !this.#fleetManager &&
      this.#leadership.isServing &&
      this.#document.newest().voters.length === 2 &&
      !this.#parts.isWriting(CONFIG_PART)
    ) {
      const [, next] = this.#document.newest().voters;
      if (
        next &&
        next.map(nodeId).every(this.#elector.quorumMembers.has, this.#elector.quorumMembers)
      ) {
        this.#document.write(now, { ...this.#document.newest(), voters: [next] }, 0);
      }
    }
  }

  #isInForce(now: Moment, commit: Commit): boolean {
    // In a deployment the yes says that it is held for good; the machines have their own span to follow.
    return this.#fleetManager !== undefined || this.#members.isInForce(now, commit);
  }

  #found(now: Moment, origin: Origin): void {
    if (this.#replicaStatus.name === 'sound') {
      this.#effects.answer(origin, {
        status: 200,
        body: JSON.stringify({ outcome: 'already', standing: 'sound' }),
      });
      return;
    }
    this.#replicaStatus.force();
    this.#isRecovering = true;
    this.#repair.settle(now, this.#replicaStatus.outcome(now, this.#voters.quorum));
    this.#effects.answer(origin, {
      status: 200,
      body: JSON.stringify({ outcome: 'forced', standing: this.#replicaStatus.name }),
    });
  }

  // ---- the outside: platform, weight store, runners

  #writePlaced(now: Moment, part: PartName, body: string): void {
    this.#placementWrites += 1;
    this.#writer.write(now, part, body, 0);
  }

  #publishFleet(count: number, body: string, delta: string): void {
    const version = { epoch: this.#leadership.epoch, count };
    if (!this.#relay.offerDelta('fleet', version, count - 1, delta))
      this.#relay.offer('fleet', version, body);
  }

  #tickOutside(now: Moment): void {
    if (this.#fleetManager) {
      if (this.#leadership.isServing && this.#recoverUntil === undefined)
        this.#fleetManager.tick(now, this.#document.newest());
      return;
    }
    if (now >= later(this.#machinesAt, this.#settings.machinesMs)) {
      this.#machinesAt = now;
      this.#effects.add({ do: 'askMachines' });
    }
    if (this.#leadership.isServing)
      this.#table.tick(now, this.#document.newest(), this.#recoverUntil === undefined);
  }

  #publishPlaces(count: number, text: string): void {
    this.#relay.offer('places', { epoch: this.#leadership.epoch, count }, text);
  }

  // ---- what operators see

  #status(now: Moment): object {
    const totals: Record<string, number> = {};
    for (const voter of this.#voters.quorum.all)
      totals[voter] =
        Math.round(this.#elector.scores.total(voter, this.#voters.quorum.all) * 1000) / 1000;
    const parts: Record<string, string> = {};
    for (const part of allParts()) parts[part] = versionText(this.#parts.versionOf(part));
    const members = [];
    const seen = new Set<string>();
    for (const member of this.#members.all()) {
      if (seen.has(member.id)) continue;
      seen.add(member.id);
      members.push({
        id: member.id,
        zone: member.zone,
        acked: versionText(this.#members.ackedBy(member)),
        parent: this.#tree.parentOf(member.id),
      });
    }
    const places = this.#relay.item('places');
    const config = this.#relay.item('config');
    return {
      me: this.#me,
      zone: this.#settings.zone,
      standing: this.#replicaStatus.name,
      membersHoldState: this.#replicaStatus.isMemberHolding,
      role: this.#elector.role,
      epoch: this.#elector.epoch,
      leader: this.#elector.leader ?? '',
      serving: this.#leadership.isServing,
      mayOrder: this.mayOrder(now),
      leaseLeftMs: Math.max(0, Math.round(this.#elector.leaseEnd - now)),
      voters: this.#voters.quorum.all,
      scores: totals,
      parts,
      unsound: this.#parts.unsoundParts(),
      mended: this.#parts.mends,
      config: config ? versionText(config.version) : 'none',
      placesVersion: places ? versionText(places.version) : 'none',
      machines: this.#table.machines.revision,
      members,
      places: places ? parseAs(type({}), places.body) : undefined,
      intents: (this.#fleetManager ?? this.#table).docs().flatMap(intentsOf),
    };
  }
}

function copyOf(set: readonly string[]): string[] {
  return [...set];
}
function isOther(me: string, id: string): boolean {
  return id !== me;
}
function intentsOf(doc: ServiceDoc): readonly Intent[] {
  return doc.intents;
}
