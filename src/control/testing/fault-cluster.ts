import { IdlePlanner } from './idle-planner.js';
import { allPartitions } from '../../state/partition-names.js';
import { MemoryStore } from '../../state/memory-store.js';
import type { StoredPartition } from '../../state/store.js';
import { moment, type Moment } from '../../common/ids.js';
import type { Message } from '../../common/messages.js';
import type { Fleet, FleetRunner, ListedRunner } from '../../placement/fleet.js';
import type { ServiceDoc } from '../../placement/shapes.js';
import { SeededRandom } from '../../rehearsal/seeded-random.js';
import { VOTE_DEFAULTS } from '../../election/vote-settings.js';
import { ControlCore } from '../control-core.js';
import { CONTROL_DEFAULTS, type ControlEffect } from '../control-effect.js';
import { documentOf, PlainDialect, type PlainDocument } from './plain-dialect.js';

/** A planner that only stores the placements that a test adds. */
class StoringPlanner extends IdlePlanner {
  #docs: readonly ServiceDoc[] = [];
  #changed: string[] = [];
  #runners: readonly ListedRunner[] = [];

  override onRunnerList(_now: Moment, runners: readonly ListedRunner[]): void {
    this.#runners = runners;
  }

  override fleet(): Fleet {
    return { flows: 1, runners: this.#runners.map(runnerOf), waits: [] };
  }

  place(model: string): void {
    const doc = { model, primary: 'runner', understudy: '', wait: '', intents: [] };
    this.#docs = [...this.#docs, doc];
    this.#changed.push(model);
  }

  override restore(_now: Moment, docs: readonly ServiceDoc[]): void {
    this.#docs = docs;
  }

  override docs(): readonly ServiceDoc[] {
    return this.#docs;
  }

  override plan(): readonly string[] {
    return this.#changed.splice(0);
  }
}

function runnerOf({ id, address, zone, service, slots, isLeaving }: ListedRunner): FleetRunner {
  return { id, address, zone, service, slots, isLeaving, coldMs: 0, holds: [], coming: [] };
}

/** A node's answer to a command; status 0 if there is none. */
export interface Answer {
  readonly status: number;
  readonly body: string;
}

/** A client of the control nodes on a machine of its own, for example an agent with its proxy. */
export interface ClusterClient {
  /** Delivers a message. */
  receive(now: Moment, from: string, message: Message): void;
  /** The connection to a node closed. */
  onDisconnect(now: Moment, id: string): void;
  /** Called at each tick of the control nodes. */
  tick(now: Moment): void;
}

/** A read of the platform's list of runners by a node, at the time of its request. */
export interface RunnerListRead {
  readonly id: string;
  readonly at: number;
}

interface ScheduledEvent {
  readonly at: number;
  readonly run: () => void;
}

interface Node {
  core: ControlCore;
  readonly planner: StoringPlanner;
  store: MemoryStore;
  /** Increases with each start, so that events for an earlier incarnation are dropped. */
  incarnation: number;
  state: 'up' | 'frozen' | 'down';
  /** Inputs that reached the frozen node; handled after the thaw. */
  readonly inbox: (() => void)[];
  isDiskStalled: boolean;
  readonly stalled: (() => void)[];
  readonly answers: Map<number, Answer>;
  /** When a planned stop began. */
  retiringSince: number | undefined;
  stoppedAt: number | undefined;
}

/** The seed and delays of a cluster. */
export interface FaultClusterOptions {
  readonly seed?: number;
  /** Range of the delay of a message; each link delivers in order. */
  readonly minDelayMs?: number;
  readonly maxDelayMs?: number;
  readonly minDiskMs?: number;
  readonly maxDiskMs?: number;
}

/** Range of a one-way delay, in milliseconds. */
interface DelayRange {
  readonly minMs: number;
  readonly maxMs: number;
}

const STEP_MS = 5;
const LIST_DELAY_MS = 30;
const TICK_MS = 50;
/** Time within which an edit is acknowledged if there are no faults. */
const EDIT_ACK_TIMEOUT_MS = 4000;
/** How long an unanswered read is retried. */
const READ_TIMEOUT_MS = 3000;
/** A planned stop that takes longer is killed. */
const STOP_GRACE_MS = 8000;
/** The election settings of a control process in a deployment. */
const VOTE_SETTINGS = {
  ...VOTE_DEFAULTS,
  pingMs: 250,
  renewMs: 300,
  electionMs: 500,
  leaseMs: 1500,
  peerTimeoutMs: 1200,
  handoverGapMs: 3000,
} as const;

/**
 * Control cores in memory on virtual time, with fault injection: links with delays and cuts in one or both directions,
 * processes that are frozen, killed or stopped as planned, and disks that are slow, stalled, wiped or restored from an older
 * copy.
 */
export class FaultCluster {
  #now = 0;
  #commandId = 0;
  readonly nodes = new Map<string, Node>();
  readonly #random: SeededRandom;
  readonly #options: Required<FaultClusterOptions>;
  readonly #defaultDelay: DelayRange;
  #events: ScheduledEvent[] = [];
  /** When the last message on a link arrives, or the last write of a partition on a disk ends. */
  readonly #lastDueAt = new Map<string, number>();
  /** Delays of messages from or to these nodes, in place of those of the options. */
  readonly #delays = new Map<string, DelayRange>();
  readonly #cutLinks = new Set<string>();
  readonly #droppedKinds = new Set<string>();
  readonly #clients = new Map<string, ClusterClient>();
  /** The platform's list of runners; undefined while the platform is unreachable. */
  #runnerList: readonly ListedRunner[] | undefined;
  /** Nodes that cannot reach the platform. */
  readonly #cutFromPlatform = new Set<string>();
  /** The reads of the platform's list of runners, in order. */
  readonly runnerListReads: RunnerListRead[] = [];

  constructor(options: FaultClusterOptions = {}) {
    const defaults = {
      seed: 1,
      minDelayMs: 1,
      maxDelayMs: 10,
      minDiskMs: 1,
      maxDiskMs: 10,
    };
    this.#options = { ...defaults, ...options };
    const { minDelayMs: minMs, maxDelayMs: maxMs } = this.#options;
    this.#defaultDelay = { minMs, maxMs };
    this.#random = new SeededRandom(this.#options.seed, 1);
  }

  /** The virtual time, in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /** The node with this id; throws if there is none. */
  node(id: string): Node {
    const node = this.nodes.get(id);
    if (!node) throw new Error(`no node ${id}`);
    return node;
  }

  /** Starts a node, with its disk if it ran before. */
  start(id: string, seeds: readonly string[], isFirstStart: boolean = false): void {
    const previous = this.nodes.get(id);
    const store = previous?.store ?? new MemoryStore();
    const incarnation = (previous?.incarnation ?? 0) + 1;
    const planner = new StoringPlanner();
    const deployed = {
      dialect: new PlainDialect(),
      planner,
      isFirstStart,
      listMs: 1000,
    };
    const settings = {
      ...CONTROL_DEFAULTS,
      me: id,
      zone: `zone-${id}`,
      seeds,
      incarnation: incarnation * 1_000_000 + Math.floor(this.#random.next() * 1000),
      silentMs: 3000,
      foundMs: 0,
      deployed,
    };
    const core = new ControlCore(settings, store.list(), moment(this.#now), VOTE_SETTINGS);
    this.nodes.set(id, {
      core,
      planner,
      store,
      incarnation,
      state: 'up',
      inbox: [],
      isDiskStalled: false,
      stalled: [],
      answers: new Map(),
      retiringSince: undefined,
      stoppedAt: undefined,
    });
  }

  /** Makes the platform return these runners. */
  setRunnerList(runners: readonly ListedRunner[]): void {
    this.#runnerList = runners;
  }

  /** Makes the platform unreachable for all nodes. */
  stopPlatform(): void {
    this.#runnerList = undefined;
  }

  /** Makes the platform unreachable for a node. */
  cutFromPlatform(id: string): void {
    this.#cutFromPlatform.add(id);
  }

  /** Adds a client, which ticks with the control nodes and is subject to cuts as well. */
  addClient(id: string, client: ClusterClient): void {
    this.#clients.set(id, client);
  }

  /** Sends a message of a client. */
  send(from: string, to: string, message: Message): void {
    this.#send(from, to, message);
  }

  /** Stops a node at once, without a handover. */
  kill(id: string): void {
    const node = this.node(id);
    node.state = 'down';
    node.stoppedAt = this.#now;
    const closesAt = moment(this.#now + STEP_MS);
    for (const client of this.#clients.values())
      this.#schedule(STEP_MS, () => client.onDisconnect(closesAt, id));
    for (const other of this.nodes.keys())
      if (other !== id) this.#schedule(STEP_MS, () => this.#onConnectionClosed(other, id));
  }

  /** Begins a planned stop: the core is polled until it may stop, as a process does. */
  retire(id: string): void {
    this.node(id).retiringSince = this.#now;
  }

  /** Replaces a node's disk by an empty one. */
  wipe(id: string): void {
    this.node(id).store = new MemoryStore();
  }

  /** The content of a node's disk. */
  disk(id: string): readonly StoredPartition[] {
    return this.node(id).store.list();
  }

  /** Restores an earlier content of a disk; only for a node that is down. */
  restoreDisk(id: string, stored: readonly StoredPartition[]): void {
    const store = new MemoryStore();
    for (const item of stored) store.persist(item.partition, item.version, item.body);
    this.node(id).store = store;
  }

  /** Delays the ends of a node's disk writes until `resumeDisk`. */
  stallDisk(id: string): void {
    this.node(id).isDiskStalled = true;
  }

  /** Ends a stall of a node's disk. */
  resumeDisk(id: string): void {
    const node = this.node(id);
    node.isDiskStalled = false;
    for (const finish of node.stalled.splice(0)) finish();
  }

  /** Suspends a node: its inputs are queued, and it does not tick. */
  freeze(id: string): void {
    this.node(id).state = 'frozen';
  }

  /** Resumes a node, which first handles its queued inputs or first ticks. */
  thaw(id: string, first: 'input' | 'tick' = 'input'): void {
    const node = this.node(id);
    node.state = 'up';
    if (first === 'tick') this.#tick(id, node);
    for (const input of node.inbox.splice(0)) input();
    if (first === 'input') this.#tick(id, node);
  }

  /** Sets the delays of messages from and to a node. */
  setDelay(id: string, minMs: number, maxMs: number): void {
    this.#delays.set(id, { minMs, maxMs });
  }

  /** Drops messages on a link in one direction. */
  cutOneWay(from: string, to: string): void {
    this.#cutLinks.add(`${from}>${to}`);
  }

  /** Drops messages on a link in both directions. */
  cutBothWays(one: string, other: string): void {
    this.cutOneWay(one, other);
    this.cutOneWay(other, one);
  }

  /** Isolates a node from all other nodes and clients. */
  cutOff(id: string): void {
    for (const other of this.nodes.keys()) this.cutBothWays(id, other);
    for (const other of this.#clients.keys()) this.cutBothWays(id, other);
  }

  /** Ends all cuts. */
  heal(): void {
    this.#cutLinks.clear();
  }

  /** Drops all messages of a kind to a node, as if each of them were late. */
  dropMessages(to: string, kind: Message['kind']): void {
    this.#droppedKinds.add(`${to} ${kind}`);
  }

  /** Ends all losses of kinds of messages. */
  stopDroppingMessages(): void {
    this.#droppedKinds.clear();
  }

  /** Runs the cluster for that long. */
  run(millis: number): void {
    for (const end = this.#now + millis; this.#now < end;) this.#step();
  }

  /** Runs until the condition holds, and returns after how many milliseconds; throws after the limit. */
  runUntil(holds: () => boolean, limitMs: number, description: string): number {
    const begin = this.#now;
    while (!holds()) {
      if (this.#now - begin >= limitMs) throw new Error(`not within ${limitMs} ms: ${description}`);
      this.#step();
    }
    return this.#now - begin;
  }

  /** The id of the serving node with the highest epoch; '' if no node serves. */
  leader(): string {
    let leader = '';
    let epoch = -1;
    for (const [id, node] of this.nodes) {
      if (node.state !== 'up' || !node.core.isServing || node.core.elector.epoch <= epoch) continue;
      leader = id;
      epoch = node.core.elector.epoch;
    }
    return leader;
  }

  /** Whether a node serves as the leader. */
  hasLeader(): boolean {
    return this.leader() !== '';
  }

  /** The voters as the leader knows them, of both sets during a joint change, separated by spaces. */
  voters(): string {
    const leader = this.leader();
    return leader === '' ? '' : [...this.node(leader).core.voters].join(' ');
  }

  /** The id of a running voter that is not the leader; throws if there is none. */
  follower(): string {
    const leader = this.leader();
    for (const id of this.node(leader).core.voters) {
      if (id !== leader && this.node(id).state === 'up') return id;
    }
    throw new Error('no follower');
  }

  /** Sends a command to a node's API and waits for the answer; status 0 if none arrived in time. */
  request(id: string, verb: string, body: object, millis: number = 500): Answer {
    const number = this.submit(id, verb, body);
    for (const end = this.#now + millis; this.#now < end;) {
      const answer = this.node(id).answers.get(number);
      if (answer) return answer;
      this.#step();
    }
    return { status: 0, body: '' };
  }

  /** Sends a command to a node's API; returns the number by which its answer is stored. */
  submit(id: string, verb: string, body: object): number {
    this.#commandId += 1;
    const node = this.node(id);
    node.core.onCommand(moment(this.#now), this.#commandId, verb, JSON.stringify(body));
    this.#drain(id, node);
    return this.#commandId;
  }

  /**
   * Puts a configuration in force through the leader; an edit without a known outcome is retried. Throws if the edit is not
   * acknowledged in time.
   */
  configure(base: number, version: number): void {
    const body = { id: `edit-${version}`, base, text: documentOf(version) };
    let answer: Answer = { status: 0, body: 'no node leads' };
    for (const end = this.#now + EDIT_ACK_TIMEOUT_MS; this.#now < end; this.run(TICK_MS)) {
      if (!this.hasLeader()) continue;
      answer = this.request(this.leader(), 'configure', body, 1000);
      if (answer.status === 200) return;
      if (answer.status !== 0 && answer.status < 500) break;
    }
    throw new Error(`${version} on ${base}: ${answer.status} ${answer.body}`);
  }

  /** Whether a node counts as a voter again: it has granted the leader's epoch and stores all that the leader stores. */
  isCaughtUp(id: string): boolean {
    const leader = this.leader();
    if (leader === '') return false;
    const { core } = this.node(id);
    const { core: leading } = this.node(leader);
    if (core.replicaStatus.name !== 'sound' || core.elector.epoch !== leading.elector.epoch)
      return false;
    if (id !== leader && core.elector.leader !== leader) return false;
    for (const partition of allPartitions()) {
      const own = core.state.versionOf(partition);
      const newest = leading.state.versionOf(partition);
      if (own.epoch !== newest.epoch || own.count !== newest.count) return false;
    }
    return true;
  }

  /** Makes the leader store a placement of a model. */
  place(model: string): void {
    const node = this.node(this.leader());
    node.planner.place(model);
    node.core.onRunnerList(moment(this.#now), []);
    this.#drain(this.leader(), node);
  }

  /** The models whose placements the leader has stored. */
  placed(): readonly string[] {
    const models: string[] = [];
    for (const doc of this.node(this.leader()).planner.docs()) models.push(doc.model);
    return models;
  }

  /** The version in force as read through a node, with retries; undefined if none was answered. */
  versionAt(id: string): number | undefined {
    for (const end = this.#now + READ_TIMEOUT_MS; this.#now < end; this.run(TICK_MS)) {
      const answer = this.request(id, 'read', {}, 1500);
      if (answer.status !== 200) continue;
      const read: { readonly routing?: Pick<PlainDocument, 'version'> } = JSON.parse(answer.body);
      return read.routing?.version ?? 0;
    }
    return undefined;
  }

  #step(): void {
    this.#now += STEP_MS;
    const due = this.#events.filter((event) => event.at <= this.#now);
    this.#events = this.#events.filter((event) => event.at > this.#now);
    due.sort(byTime);
    for (const event of due) event.run();
    for (const [id, node] of this.nodes) {
      if (node.state !== 'up') continue;
      if (this.#now % TICK_MS === 0) this.#tick(id, node);
    }
    if (this.#now % TICK_MS !== 0) return;
    for (const client of this.#clients.values()) client.tick(moment(this.#now));
  }

  #tick(id: string, node: Node): void {
    node.core.tick(moment(this.#now));
    this.#drain(id, node);
    if (node.retiringSince === undefined) return;
    const mayStop = node.core.retire(moment(this.#now));
    this.#drain(id, node);
    if (mayStop || this.#now - node.retiringSince >= STOP_GRACE_MS) this.kill(id);
  }

  #schedule(millis: number, run: () => void): void {
    this.#events.push({ at: this.#now + millis, run });
  }

  #onConnectionClosed(at: string, id: string): void {
    const node = this.nodes.get(at);
    if (!node || node.state === 'down') return;
    this.#input(at, () => this.#handleDisconnect(at, id));
  }

  #handleDisconnect(at: string, id: string): void {
    const node = this.node(at);
    node.core.onDisconnect(moment(this.#now), id);
    this.#drain(at, node);
  }

  #send(from: string, to: string, message: Message): void {
    const link = `${from}>${to}`;
    const range = this.#delays.get(from) ?? this.#delays.get(to) ?? this.#defaultDelay;
    const delay = this.#random.between(range.minMs, range.maxMs);
    const at = Math.max(this.#lastDueAt.get(link) ?? 0, this.#now + delay);
    this.#lastDueAt.set(link, at);
    const sender = this.nodes.get(from)?.incarnation;
    const receiver = this.nodes.get(to)?.incarnation;
    this.#events.push({ at, run: () => this.#deliver(from, to, sender, receiver, message) });
  }

  #deliver(
    from: string,
    to: string,
    sender: number | undefined,
    receiver: number | undefined,
    message: Message,
  ): void {
    if (this.nodes.get(from)?.incarnation !== sender || this.#cutLinks.has(`${from}>${to}`)) return;
    this.#clients.get(to)?.receive(moment(this.#now), from, message);
    const node = this.nodes.get(to);
    if (!node || node.state === 'down' || node.incarnation !== receiver) return;
    if (this.#droppedKinds.has(`${to} ${message.kind}`)) return;
    this.#input(to, () => this.#receive(to, from, message));
  }

  #receive(to: string, from: string, message: Message): void {
    const node = this.node(to);
    node.core.onMessage(moment(this.#now), from, message, `zone-${from}`);
    this.#drain(to, node);
  }

  #input(id: string, input: () => void): void {
    const node = this.node(id);
    if (node.state === 'frozen') node.inbox.push(input);
    else input();
  }

  #drain(id: string, node: Node): void {
    for (let effects = node.core.drain(); effects.length > 0; effects = node.core.drain()) {
      for (const effect of effects) this.#carryOut(id, node, effect);
    }
  }

  #carryOut(id: string, node: Node, effect: ControlEffect): void {
    if (effect.do === 'send') this.#send(id, effect.to, effect.message);
    else if (effect.do === 'askList') this.#readRunnerList(id, node);
    else if (effect.do === 'reply')
      node.answers.set(effect.id, { status: effect.status, body: effect.body });
    else if (effect.do === 'store') {
      // Versions of one partition reach the disk in order.
      const queue = `${id} ${effect.partition}`;
      const millis = this.#random.between(this.#options.minDiskMs, this.#options.maxDiskMs);
      const at = Math.max(this.#lastDueAt.get(queue) ?? 0, this.#now + millis);
      this.#lastDueAt.set(queue, at);
      const { incarnation } = node;
      this.#events.push({ at, run: () => this.#onWriteSynced(id, incarnation, effect) });
    }
  }

  #readRunnerList(id: string, node: Node): void {
    this.runnerListReads.push({ id, at: this.#now });
    const listed = this.#runnerList;
    const { incarnation } = node;
    if (listed && !this.#cutFromPlatform.has(id))
      this.#schedule(LIST_DELAY_MS, () => this.#onRunnerList(id, incarnation, listed));
  }

  #onRunnerList(id: string, incarnation: number, listed: readonly ListedRunner[]): void {
    const node = this.node(id);
    if (node.incarnation !== incarnation || node.state === 'down') return;
    this.#input(id, () => this.#handleRunnerList(id, listed));
  }

  #handleRunnerList(id: string, listed: readonly ListedRunner[]): void {
    const node = this.node(id);
    node.core.onRunnerList(moment(this.#now), listed);
    this.#drain(id, node);
  }

  #onWriteSynced(
    id: string,
    incarnation: number,
    effect: Extract<ControlEffect, { do: 'store' }>,
  ): void {
    const node = this.node(id);
    if (node.incarnation !== incarnation || node.state === 'down') return;
    if (node.isDiskStalled) {
      node.stalled.push(() => this.#onWriteSynced(id, incarnation, effect));
      return;
    }
    node.store.persist(effect.partition, effect.version, effect.body);
    this.#input(id, () => this.#handlePersisted(id, effect));
  }

  #handlePersisted(id: string, effect: Extract<ControlEffect, { do: 'store' }>): void {
    const node = this.node(id);
    node.core.onPersisted(moment(this.#now), effect.partition, effect.version);
    this.#drain(id, node);
  }
}

/** A new cluster in which all these nodes are voters, with a leader that serves; the first three are its seeds. */
export function formedFaultCluster(
  ids: readonly string[],
  options: FaultClusterOptions = {},
): FaultCluster {
  const cluster = new FaultCluster(options);
  for (const id of ids) cluster.start(id, ids.slice(0, 3), true);
  cluster.runUntil(
    (): boolean => cluster.voters() === [...ids].sort().join(' '),
    20_000,
    `all of ${ids.join(' ')} are voters`,
  );
  cluster.run(2000);
  return cluster;
}
function byTime(a: ScheduledEvent, b: ScheduledEvent): number {
  return a.at - b.at;
}
