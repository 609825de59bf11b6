import { MemoryStore } from '../../state/memory-store.js';
import { moment, type Moment } from '../../common/ids.js';
import type { Message } from '../../common/messages.js';
import { IdlePlanner } from './idle-planner.js';
import { ControlCore } from '../control-core.js';
import { CONTROL_DEFAULTS } from '../control-effect.js';
import type { CoreLogEvent } from '../control-log-event.js';
import { PlainDialect } from './plain-dialect.js';

export { documentOf } from './plain-dialect.js';

export interface Answer {
  readonly status: number;
  readonly body: string;
}

interface Mail {
  readonly from: string;
  readonly to: string;
  readonly message: Message;
}

interface Node {
  core: ControlCore;
  readonly store: MemoryStore;
  isUp: boolean;
  /** Inputs of a frozen node wait and reach it before its first tick after the thaw. */
  isFrozen: boolean;
  readonly inbox: (() => void)[];
  disk: 'sound' | 'stalled';
  readonly answers: Map<number, Answer>;
  /** The log events since its start. */
  readonly events: CoreLogEvent[];
}

export const SEEDS = ['a:1', 'b:1', 'c:1'];
const STEP_MS = 10;
const TICK_MS = 50;

/** Control cores in memory on virtual time, with messages that take one step each. */
export class ControlCluster {
  #now = 0;
  #asked = 0;
  readonly nodes = new Map<string, Node>();
  #mail: Mail[] = [];
  readonly #cut = new Set<string>();
  /** Messages that a cut holds up; they are delivered late, in order, once it heals. */
  #held: Mail[] = [];

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

  get now(): Moment {
    return moment(this.#now);
  }

  stop(id: string): void {
    this.node(id).isUp = false;
  }

  wipe(id: string): void {
    this.node(id).store.erase();
  }

  freeze(id: string): void {
    this.node(id).isFrozen = true;
  }

  /** What waits at the node is handled at once; its first tick comes with the next run. */
  thaw(id: string): void {
    const node = this.node(id);
    node.isFrozen = false;
    for (const input of node.inbox.splice(0)) input();
  }

  /** Cuts a node off from all others, both ways. */
  cut(id: string): void {
    this.#cut.add(id);
  }

  /** Joins a node again; what the cut held up arrives now, unless it was lost. */
  heal(id: string, held: 'delivered' | 'lost' = 'delivered'): void {
    this.#cut.delete(id);
    const released = this.#held;
    this.#held = [];
    if (held === 'delivered') this.#mail.push(...released);
  }

  node(id: string): Node {
    const node = this.nodes.get(id);
    if (!node) throw new Error(`no node ${id}`);
    return node;
  }

  run(millis: number): void {
    for (const end = this.#now + millis; this.#now < end;) {
      this.#now += STEP_MS;
      const mail = this.#mail;
      this.#mail = [];
      for (const item of mail) this.#deliver(item);
      for (const [id, node] of this.nodes) {
        if (!node.isUp || node.isFrozen) continue;
        if (this.#now % TICK_MS === 0) node.core.tick(moment(this.#now));
        this.#drain(id, node);
      }
    }
  }

  #deliver(item: Mail): void {
    const { from, to, message } = item;
    const node = this.nodes.get(to);
    if (!node?.isUp || !this.node(from).isUp) return;
    if (this.#cut.has(from) || this.#cut.has(to)) {
      this.#held.push(item);
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
          this.#mail.push({ from: id, to: effect.to, message: effect.message });
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

  leader(): string {
    for (const [id, node] of this.nodes)
      if (node.isUp && !node.isFrozen && node.core.isServing) return id;
    return '';
  }

  ask(id: string, verb: string, body: object): number {
    this.#asked += 1;
    const number = this.#asked;
    const text = JSON.stringify(body);
    this.#input(id, () => this.#command(id, number, verb, text));
    return number;
  }

  #command(id: string, number: number, verb: string, body: string): void {
    const node = this.node(id);
    node.core.onCommand(moment(this.#now), number, verb, body);
    this.#drain(id, node);
  }

  answer(id: string, number: number): Answer {
    return this.node(id).answers.get(number) ?? { status: 0, body: '' };
  }

  asked(id: string, verb: string, body: object, millis: number = 500): Answer {
    const number = this.ask(id, verb, body);
    this.run(millis);
    return this.answer(id, number);
  }

  voters(): string {
    return [...this.node(this.leader()).core.voters].join(' ');
  }

  /** Some node that does not lead. */
  follower(): string {
    const leader = this.leader();
    for (const [id, node] of this.nodes)
      if (node.isUp && !node.isFrozen && id !== leader) return id;
    throw new Error('no follower is up');
  }
}

/** A cluster of three at its first start, with a leader that serves. */
export function foundedCluster(): ControlCluster {
  const cluster = new ControlCluster();
  for (const id of SEEDS) cluster.start(id, true);
  cluster.run(6000);
  if (cluster.leader() === '') throw new Error('nobody leads');
  return cluster;
}

export function editOf(id: string, base: number, text: string): object {
  return { id, base, text };
}
