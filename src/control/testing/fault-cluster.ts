import { IdlePlanner } from './idle-planner.js';
import { allPartitions } from '../../state/partition-names.js';
import { MemoryStore } from '../../state/memory-store.js';
import type { StoredPartition } from '../../state/store.js';
import { moment, type Moment } from '../../common/ids.js';
import type { Message } from '../../common/messages.js';
import type { Fleet, FleetRunner, ListedRunner } from '../../placement/fleet.js';
import type { ServiceDoc } from '../../placement/shapes.js';
import { Seeded } from '../../rehearsal/seeded.js';
import { VOTE_DEFAULTS } from '../../election/vote-settings.js';
import { ControlCore } from '../control-core.js';
import { CONTROL_DEFAULTS, type ControlEffect } from '../control-effect.js';
import { documentOf, PlainDialect, type PlainDocument } from './plain-dialect.js';

/** Plans nothing by itself: it keeps what a test places, as a planner keeps its intents. */
class KeepingPlanner extends IdlePlanner {
  #docs: readonly ServiceDoc[] = [];
  #changed: string[] = [];
  #listed: readonly ListedRunner[] = [];

  override onRunnerList(_now: Moment, runners: readonly ListedRunner[]): void {
    this.#listed = runners;
  }

  override fleet(): Fleet {
    return { flows: 1, runners: this.#listed.map(runnerOf), waits: [] };
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

export interface Answer {
  readonly status: number;
  readonly body: string;
}

/** A machine beside the control nodes: an agent with its proxy, say. */
export interface Neighbour {
  receive(now: Moment, from: string, message: Message): void;
  gone(now: Moment, id: string): void;
  tick(now: Moment): void;
}

/** A reading of the platform's list, as asked for. */
export interface ListReading {
  readonly id: string;
  readonly at: number;
}

interface Timed {
  readonly at: number;
  readonly run: () => void;
}

interface Node {
  core: ControlCore;
  readonly planner: KeepingPlanner;
  store: MemoryStore;
  /** Grows with each start, so that what was under way for a former incarnation is dropped. */
  incarnation: number;
  state: 'up' | 'frozen' | 'down';
  /** What reached a frozen node; it is read after the thaw. */
  readonly inbox: (() => void)[];
  isDiskStalled: boolean;
  readonly stalled: (() => void)[];
  readonly answers: Map<number, Answer>;
  /** Since when a planned stop is under way. */
  retiringSince: number | undefined;
  stoppedAt: number | undefined;
}

export interface FaultClusterOptions {
  readonly seed?: number;
  /** Each message takes between these two, in order on each link. */
  readonly leastDelayMs?: number;
  readonly mostDelayMs?: number;
  readonly leastDiskMs?: number;
  readonly mostDiskMs?: number;
}

/** Both in milliseconds, one way. */
interface DelayRange {
  readonly leastMs: number;
  readonly mostMs: number;
}

const STEP_MS = 5;
const LIST_DELAY_MS = 30;
const TICK_MS = 50;
/** An order in calm times is acknowledged within so long. */
const ACK_MS = 4000;
/** A read without an answer is asked again for so long. */
const READ_MS = 3000;
/** A planned stop that was not over by then would be killed. */
const GRACE_MS = 8000;
/** As a control process of a deployment sets them. */
const VOTE = {
  ...VOTE_DEFAULTS,
  pingMs: 250,
  renewMs: 300,
  electionMs: 500,
  leaseMs: 1500,
  peerTimeoutMs: 1200,
  handoverGapMs: 3000,
} as const;

/**
 * Control cores in memory on virtual time, with links that delay, cut one way or both, processes that are
 * frozen, killed and stopped as planned, and disks that are slow, stalled, lost or brought back old.
 */
export class FaultCluster {
  #now = 0;
  #asked = 0;
  readonly nodes = new Map<string, Node>();
  readonly #numbers: Seeded;
  readonly #options: Required<FaultClusterOptions>;
  readonly #near: DelayRange;
  #events: Timed[] = [];
  /** When the last message on a link arrives, or the last write of a part on a disk ends. */
  readonly #links = new Map<string, number>();
  /** What each message from or to these takes, in place of what the options say. */
  readonly #far = new Map<string, DelayRange>();
  readonly #cut = new Set<string>();
  readonly #lost = new Set<string>();
  readonly #neighbours = new Map<string, Neighbour>();
  /** What the platform lists; nothing where it answers nobody. */
  #listed: readonly ListedRunner[] | undefined;
  /** Nodes that the platform does not answer. */
  readonly #unanswered = new Set<string>();
  readonly listReadings: ListReading[] = [];

  constructor(options: FaultClusterOptions = {}) {
    const defaults = {
      seed: 1,
      leastDelayMs: 1,
      mostDelayMs: 10,
      leastDiskMs: 1,
      mostDiskMs: 10,
    };
    this.#options = { ...defaults, ...options };
    const { leastDelayMs, mostDelayMs } = this.#options;
    this.#near = { leastMs: leastDelayMs, mostMs: mostDelayMs };
    this.#numbers = new Seeded(this.#options.seed, 1);
  }

  get now(): number {
    return this.#now;
  }

  node(id: string): Node {
    const node = this.nodes.get(id);
    if (!node) throw new Error(`no node ${id}`);
    return node;
  }

  /** Starts a node, with the disk that stands at its address. */
  start(id: string, seeds: readonly string[], isFirstStart: boolean = false): void {
    const before = this.nodes.get(id);
    const store = before?.store ?? new MemoryStore();
    const incarnation = (before?.incarnation ?? 0) + 1;
    const planner = new KeepingPlanner();
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
      incarnation: incarnation * 1_000_000 + Math.floor(this.#numbers.next() * 1000),
      silentMs: 3000,
      foundMs: 0,
      deployed,
    };
    const core = new ControlCore(settings, store.list(), moment(this.#now), VOTE);
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

  /** From now on the platform answers with these runners. */
  list(runners: readonly ListedRunner[]): void {
    this.#listed = runners;
  }

  /** From now on the platform answers nobody. */
  stopPlatform(): void {
    this.#listed = undefined;
  }

  /** From now on the platform answers that node nothing. */
  cutFromPlatform(id: string): void {
    this.#unanswered.add(id);
  }

  /** Puts a machine beside the control nodes; it ticks with them, and cuts bind it as well. */
  join(id: string, neighbour: Neighbour): void {
    this.#neighbours.set(id, neighbour);
  }

  /** A message from a neighbour. */
  send(from: string, to: string, message: Message): void {
    this.#send(from, to, message);
  }

  kill(id: string): void {
    const node = this.node(id);
    node.state = 'down';
    node.stoppedAt = this.#now;
    const closesAt = moment(this.#now + STEP_MS);
    for (const neighbour of this.#neighbours.values())
      this.#at(STEP_MS, () => neighbour.gone(closesAt, id));
    for (const other of this.nodes.keys())
      if (other !== id) this.#at(STEP_MS, () => this.#gone(other, id));
  }

  /** A planned stop: the core is asked until it may stop, as its process does. */
  retire(id: string): void {
    this.node(id).retiringSince = this.#now;
  }

  wipe(id: string): void {
    this.node(id).store = new MemoryStore();
  }

  disk(id: string): readonly StoredPartition[] {
    return this.node(id).store.list();
  }

  /** Brings back what was on a disk earlier; only for a node that is down. */
  restoreDisk(id: string, stored: readonly StoredPartition[]): void {
    const store = new MemoryStore();
    for (const item of stored) store.persist(item.partition, item.version, item.body);
    this.node(id).store = store;
  }

  stallDisk(id: string): void {
    this.node(id).isDiskStalled = true;
  }

  resumeDisk(id: string): void {
    const node = this.node(id);
    node.isDiskStalled = false;
    for (const finish of node.stalled.splice(0)) finish();
  }

  freeze(id: string): void {
    this.node(id).state = 'frozen';
  }

  thaw(id: string, first: 'input' | 'tick' = 'input'): void {
    const node = this.node(id);
    node.state = 'up';
    if (first === 'tick') this.#tick(id, node);
    for (const input of node.inbox.splice(0)) input();
    if (first === 'input') this.#tick(id, node);
  }

  /** Moves a node far from all others: each message from or to it takes between these two. */
  setFar(id: string, leastMs: number, mostMs: number): void {
    this.#far.set(id, { leastMs, mostMs });
  }

  cutOneWay(from: string, to: string): void {
    this.#cut.add(`${from}>${to}`);
  }

  cutBothWays(one: string, other: string): void {
    this.cutOneWay(one, other);
    this.cutOneWay(other, one);
  }

  cutOff(id: string): void {
    for (const other of this.nodes.keys()) this.cutBothWays(id, other);
    for (const other of this.#neighbours.keys()) this.cutBothWays(id, other);
  }

  heal(): void {
    this.#cut.clear();
  }

  /** Nothing of that kind reaches a node from now on, as where it comes late each time. */
  lose(to: string, kind: Message['kind']): void {
    this.#lost.add(`${to} ${kind}`);
  }

  /** From now on everything arrives again. */
  loseNothing(): void {
    this.#lost.clear();
  }

  run(millis: number): void {
    for (const end = this.#now + millis; this.#now < end;) this.#step();
  }

  /** Runs until it holds and says how long that took; fails after the limit. */
  runUntil(holds: () => boolean, limitMs: number, what: string): number {
    const begin = this.#now;
    while (!holds()) {
      if (this.#now - begin >= limitMs) throw new Error(`not within ${limitMs} ms: ${what}`);
      this.#step();
    }
    return this.#now - begin;
  }

  /** The serving node of the highest epoch. */
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

  hasLeader(): boolean {
    return this.leader() !== '';
  }

  /** Who votes as the leader sees it, joint sets together. */
  voters(): string {
    const leader = this.leader();
    return leader === '' ? '' : [...this.node(leader).core.voters].join(' ');
  }

  follower(): string {
    const leader = this.leader();
    for (const id of this.node(leader).core.voters) {
      if (id !== leader && this.node(id).state === 'up') return id;
    }
    throw new Error('no follower');
  }

  /** Sends an order or a read, and waits for its answer; status 0 where none came. */
  asked(id: string, verb: string, body: object, millis: number = 500): Answer {
    const number = this.ask(id, verb, body);
    for (const end = this.#now + millis; this.#now < end;) {
      const answer = this.node(id).answers.get(number);
      if (answer) return answer;
      this.#step();
    }
    return { status: 0, body: '' };
  }

  ask(id: string, verb: string, body: object): number {
    this.#asked += 1;
    const node = this.node(id);
    node.core.onCommand(moment(this.#now), this.#asked, verb, JSON.stringify(body));
    this.#drain(id, node);
    return this.#asked;
  }

  /**
   * Puts a configuration in force by way of the leader; one without a clear answer is sent again as it was.
   * Fails where it is not acknowledged in time.
   */
  configure(base: number, version: number): void {
    const body = { id: `edit-${version}`, base, text: documentOf(version) };
    let answer: Answer = { status: 0, body: 'nobody leads' };
    for (const end = this.#now + ACK_MS; this.#now < end; this.run(TICK_MS)) {
      if (!this.hasLeader()) continue;
      answer = this.asked(this.leader(), 'configure', body, 1000);
      if (answer.status === 200) return;
      if (answer.status !== 0 && answer.status < 500) break;
    }
    throw new Error(`${version} on ${base}: ${answer.status} ${answer.body}`);
  }

  /** Whether a node counts as a voter again: it has granted the leader's epoch and holds all that the leader holds. */
  isCounting(id: string): boolean {
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

  /** Has the leader keep that a model is placed. */
  place(model: string): void {
    const node = this.node(this.leader());
    node.planner.place(model);
    node.core.onRunnerList(moment(this.#now), []);
    this.#drain(this.leader(), node);
  }

  /** What the leader holds as placed. */
  placed(): readonly string[] {
    const models: string[] = [];
    for (const doc of this.node(this.leader()).planner.docs()) models.push(doc.model);
    return models;
  }

  /** The version in force, as a node reads it; asked again while it has no answer. Nothing where none came. */
  versionAt(id: string): number | undefined {
    for (const end = this.#now + READ_MS; this.#now < end; this.run(TICK_MS)) {
      const answer = this.asked(id, 'read', {}, 1500);
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
    for (const neighbour of this.#neighbours.values()) neighbour.tick(moment(this.#now));
  }

  #tick(id: string, node: Node): void {
    node.core.tick(moment(this.#now));
    this.#drain(id, node);
    if (node.retiringSince === undefined) return;
    const mayStop = node.core.retire(moment(this.#now));
    this.#drain(id, node);
    if (mayStop || this.#now - node.retiringSince >= GRACE_MS) this.kill(id);
  }

  #at(millis: number, run: () => void): void {
    this.#events.push({ at: this.#now + millis, run });
  }

  #gone(at: string, id: string): void {
    const node = this.nodes.get(at);
    if (!node || node.state === 'down') return;
    this.#input(at, () => this.#hearGone(at, id));
  }

  #hearGone(at: string, id: string): void {
    const node = this.node(at);
    node.core.onDisconnect(moment(this.#now), id);
    this.#drain(at, node);
  }

  #send(from: string, to: string, message: Message): void {
    const link = `${from}>${to}`;
    const range = this.#far.get(from) ?? this.#far.get(to) ?? this.#near;
    const delay = this.#numbers.between(range.leastMs, range.mostMs);
    const at = Math.max(this.#links.get(link) ?? 0, this.#now + delay);
    this.#links.set(link, at);
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
    if (this.nodes.get(from)?.incarnation !== sender || this.#cut.has(`${from}>${to}`)) return;
    this.#neighbours.get(to)?.receive(moment(this.#now), from, message);
    const node = this.nodes.get(to);
    if (!node || node.state === 'down' || node.incarnation !== receiver) return;
    if (this.#lost.has(`${to} ${message.kind}`)) return;
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
    else if (effect.do === 'askList') this.#askList(id, node);
    else if (effect.do === 'reply')
      node.answers.set(effect.id, { status: effect.status, body: effect.body });
    else if (effect.do === 'store') {
      // Versions of one part reach the disk in order.
      const queue = `${id} ${effect.partition}`;
      const millis = this.#numbers.between(this.#options.leastDiskMs, this.#options.mostDiskMs);
      const at = Math.max(this.#links.get(queue) ?? 0, this.#now + millis);
      this.#links.set(queue, at);
      const { incarnation } = node;
      this.#events.push({ at, run: () => this.#synced(id, incarnation, effect) });
    }
  }

  #askList(id: string, node: Node): void {
    this.listReadings.push({ id, at: this.#now });
    const listed = this.#listed;
    const { incarnation } = node;
    if (listed && !this.#unanswered.has(id))
      this.#at(LIST_DELAY_MS, () => this.#hearList(id, incarnation, listed));
  }

  #hearList(id: string, incarnation: number, listed: readonly ListedRunner[]): void {
    const node = this.node(id);
    if (node.incarnation !== incarnation || node.state === 'down') return;
    this.#input(id, () => this.#takeList(id, listed));
  }

  #takeList(id: string, listed: readonly ListedRunner[]): void {
    const node = this.node(id);
    node.core.onRunnerList(moment(this.#now), listed);
    this.#drain(id, node);
  }

  #synced(id: string, incarnation: number, effect: Extract<ControlEffect, { do: 'store' }>): void {
    const node = this.node(id);
    if (node.incarnation !== incarnation || node.state === 'down') return;
    if (node.isDiskStalled) {
      node.stalled.push(() => this.#synced(id, incarnation, effect));
      return;
    }
    node.store.persist(effect.partition, effect.version, effect.body);
    this.#input(id, () => this.#hearStored(id, effect));
  }

  #hearStored(id: string, effect: Extract<ControlEffect, { do: 'store' }>): void {
    const node = this.node(id);
    node.core.onPersisted(moment(this.#now), effect.partition, effect.version);
    this.#drain(id, node);
  }
}

/** A cluster of these nodes at its first start, all voters, with a leader that serves; the first three are its seeds. */
export function foundedFaultCluster(
  ids: readonly string[],
  options: FaultClusterOptions = {},
): FaultCluster {
  const cluster = new FaultCluster(options);
  for (const id of ids) cluster.start(id, ids.slice(0, 3), true);
  cluster.runUntil(
    (): boolean => cluster.voters() === [...ids].sort().join(' '),
    20_000,
    `all of ${ids.join(' ')} vote`,
  );
  cluster.run(2000);
  return cluster;
}
function byTime(a: Timed, b: Timed): number {
  return a.at - b.at;
}
