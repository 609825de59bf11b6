import { MemoryStore } from '../../state/memory-store.js';
import { moment, type Moment } from '../../common/ids.js';
import type { Message } from '../../common/messages.js';
import { IdlePlanner } from './idle-planner.js';
import { ControlCore } from '../control-core.js';
import { CONTROL_DEFAULTS } from '../control-effect.js';
import type { CoreLogEvent } from '../control-log-event.js';
import { PlainDialect } from './plain-dialect.js';

export { documentOf } from './plain-dialect.js';

/** A node's answer to a command; status 0 if there is none. */
export interface Answer {
  readonly status: number;
  readonly body: string;
}

interface Envelope {
  readonly from: string;
  readonly to: string;
  readonly message: Message;
}

interface Node {
  core: ControlCore;
  readonly store: MemoryStore;
  isUp: boolean;
  /** Inputs of a frozen node are queued, and handled before its first tick after the thaw. */
  isFrozen: boolean;
  readonly inbox: (() => void)[];
  disk: 'sound' | 'stalled';
  readonly answers: Map<number, Answer>;
  /** The log events since the start of the node. */
  readonly events: CoreLogEvent[];
}

/** The nodes of a cluster that `formedCluster` starts. */
export const SEEDS = ['a:1', 'b:1', 'c:1'];
const STEP_MS = 10;
const TICK_MS = 50;

/** Control cores in memory, on virtual time; each message takes one step. */
export class ControlCluster {
  #now = 0;
  #commandId = 0;
  readonly nodes = new Map<string, Node>();
  #inFlight: Envelope[] = [];
  readonly #isolated = new Set<string>();
  /** Messages from and to isolated nodes, in order; delivered or dropped when a node is connected again. */
  #delayed: Envelope[] = [];

  /** Starts a node, with its stored state if it ran before. */
  start(id: string, isFirstStart: boolean, seeds: readonly string[] = SEEDS): void {
    const store = this.nodes.get(id)?.store ?? new MemoryStore();
    const deployed = {
      dialect: new PlainDialect(),
      planner: new IdlePlanner(),
      isFirstStart,
      listMs: 1000,
    };
    const settings = {
      ...CONTROL_DEFAULTS,
      me: id,
      zone: `zone-${id}`,
      seeds,
      incarnation: this.#now * 1000,
      foundMs: 0,
      deployed,
    };
    const core = new ControlCore(settings, store.list(), moment(this.#now));
    this.nodes.set(id, {
      core,
      store,
      isUp: true,
      isFrozen: false,
      inbox: [],
      disk: 'sound',
      answers: new Map(),
      events: [],
    });
  }

  /** The virtual time. */
  get now(): Moment {
    return moment(this.#now);
  }

  /** Stops a node without a handover. */
  stop(id: string): void {
    this.node(id).isUp = false;
  }

  /** Erases the disk of a node. */
  wipe(id: string): void {
    this.node(id).store.erase();
  }

  /** Suspends a node: its inputs are queued, and it does not tick. */
  freeze(id: string): void {
    this.node(id).isFrozen = true;
  }

  /** Resumes a node: its queued inputs are handled at once, its first tick comes with the next run. */
  thaw(id: string): void {
    const node = this.node(id);
    node.isFrozen = false;
    for (const input of node.inbox.splice(0)) input();
  }

  /** Isolates a node from all others, in both directions. */
  cut(id: string): void {
    this.#isolated.add(id);
  }

  /** Connects a node again; the messages held meanwhile are delivered now, or lost. */
  heal(id: string, delayed: 'delivered' | 'lost' = 'delivered'): void {
    this.#isolated.delete(id);
    const messages = this.#delayed;
    this.#delayed = [];
    if (delayed === 'delivered') this.#inFlight.push(...messages);
  }

  /** The node with this id; throws if there is none. */
  node(id: string): Node {
    const node = this.nodes.get(id);
    if (!node) throw new Error(`no node ${id}`);
    return node;
  }

  /** Runs the cluster for that long. */
  run(millis: number): void {
    for (const end = this.#now + millis; this.#now < end;) {
      this.#now += STEP_MS;
      const envelopes = this.#inFlight;
      this.#inFlight = [];
      for (const envelope of envelopes) this.#deliver(envelope);
      for (const [id, node] of this.nodes) {
        if (!node.isUp || node.isFrozen) continue;
        if (this.#now % TICK_MS === 0) node.core.tick(moment(this.#now));
        this.#drain(id, node);
      }
    }
  }

  #deliver(envelope: Envelope): void {
    const { from, to, message } = envelope;
    const node = this.nodes.get(to);
    if (!node?.isUp || !this.node(from).isUp) return;
    if (this.#isolated.has(from) || this.#isolated.has(to)) {
      this.#delayed.push(envelope);
      return;
    }
    this.#input(to, () => this.#receive(to, from, message));
  }

  #receive(to: string, from: string, message: Message): void {
    const node = this.node(to);
    node.core.onMessage(moment(this.#now), from, message, `zone-${from}`);
    this.#drain(to, node);
  }

  #input(id: string, input: () => void): void {
    const node = this.node(id);
    if (node.isFrozen) node.inbox.push(input);
    else input();
  }

  #drain(id: string, node: Node): void {
    for (let effects = node.core.drain(); effects.length > 0; effects = node.core.drain()) {
      for (const effect of effects) {
        if (effect.do === 'send')
          this.#inFlight.push({ from: id, to: effect.to, message: effect.message });
        else if (effect.do === 'reply')
          node.answers.set(effect.id, { status: effect.status, body: effect.body });
        else if (effect.do === 'log') node.events.push(effect.event);
        else if (effect.do === 'store' && node.disk === 'sound') {
          node.store.persist(effect.partition, effect.version, effect.body);
          node.core.onPersisted(moment(this.#now), effect.partition, effect.version);
        }
      }
    }
  }

  /** The id of a node that serves as the leader; '' if there is none. */
  leader(): string {
    for (const [id, node] of this.nodes)
      if (node.isUp && !node.isFrozen && node.core.isServing) return id;
    return '';
  }

  /** Sends a command to a node's API; returns the number by which `answer` finds the answer. */
  submit(id: string, verb: string, body: object): number {
    this.#commandId += 1;
    const number = this.#commandId;
    const text = JSON.stringify(body);
    this.#input(id, () => this.#command(id, number, verb, text));
    return number;
  }

  #command(id: string, number: number, verb: string, body: string): void {
    const node = this.node(id);
    node.core.onCommand(moment(this.#now), number, verb, body);
    this.#drain(id, node);
  }

  /** The answer of a node to the command with this number; status 0 if there is none yet. */
  answer(id: string, number: number): Answer {
    return this.node(id).answers.get(number) ?? { status: 0, body: '' };
  }

  /** Sends a command to a node's API, runs the cluster, and returns the answer. */
  request(id: string, verb: string, body: object, millis: number = 500): Answer {
    const number = this.submit(id, verb, body);
    this.run(millis);
    return this.answer(id, number);
  }

  /** The voters as the leader knows them, separated by spaces. */
  voters(): string {
    return [...this.node(this.leader()).core.voters].join(' ');
  }

  /** The id of a running node that is not the leader; throws if there is none. */
  follower(): string {
    const leader = this.leader();
    for (const [id, node] of this.nodes)
      if (node.isUp && !node.isFrozen && id !== leader) return id;
    throw new Error('no follower is up');
  }
}

/** A new cluster of three, with a leader that serves. */
export function formedCluster(): ControlCluster {
  const cluster = new ControlCluster();
  for (const id of SEEDS) cluster.start(id, true);
  cluster.run(6000);
  if (cluster.leader() === '') throw new Error('no node leads');
  return cluster;
}

/** The body of an edit. */
export function editOf(id: string, base: number, text: string): object {
  return { id, base, text };
}
