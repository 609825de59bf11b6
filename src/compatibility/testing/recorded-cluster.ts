import { AgentCore } from '../../agent/agent-core.js';
import { moment, type Moment } from '../../common/ids.js';
import { decodeMessage, encodeMessage, type Message } from '../../common/messages.js';
import { ControlCore } from '../../control/control-core.js';
import type { ControlEffect, ControlSettings } from '../../control/control-effect.js';
import type { VoteSettings } from '../../election/vote-settings.js';
import type { StoredPartition } from '../../state/store.js';

/** A control node at its start. */
export interface RecordedNode {
  readonly id: string;
  readonly zone: string;
  /** What it finds on its disk. */
  readonly stored: readonly StoredPartition[];
}

/** An input that reaches a control node after a delay, in milliseconds. */
export type Schedule = (delayMs: number, input: (core: ControlCore, now: Moment) => void) => void;

/** The platform, the runners and the weight store: carries out what the cores ask of them. */
export interface Outside {
  perform(now: Moment, effect: ControlEffect, schedule: Schedule): void;
}

/** What differs between the two ways to run a cluster. */
export interface RecordedPlan {
  readonly nodes: readonly RecordedNode[];
  /** Made anew for each node, since a deployment's planner is its node's alone. */
  settings(): Omit<ControlSettings, 'me' | 'zone' | 'seeds' | 'incarnation'>;
  readonly vote: VoteSettings;
  readonly outside: Outside;
  /** The body in which the proxy reports its demand at that time. */
  demand(now: Moment): string;
  /** Whether agents run as in a deployment by routes. */
  readonly isDeployed: boolean;
}

/** An operator's answer. */
export interface Answer {
  readonly status: number;
  readonly body: string;
}

interface Timed {
  readonly at: number;
  readonly run: () => void;
}

const STEP_MS = 10;
const TICK_MS = 50;
const AGENT_TICK_MS = 100;
const NETWORK_MS = 10;
const DISK_MS = 20;
const PROXY_TICK_MS = 500;
const ANSWER_LIMIT_MS = 8000;
const AGENT = '10.0.0.1:7661';
export const PROXY = 'flow@10.0.0.1:8080';
/** So many texts of one sort are kept at first, later ones only where their structure is new. */
const FIRST_SAMPLES = 3;
const MAX_SAMPLES = 40;
/** Messages to the proxy that are kept. */
const MAX_FEED = 60;

/** The structure of a JSON value as a text: its keys, the types of its values, and which of its lists are empty. */
function structureOf(value: unknown): string {
  if (Array.isArray(value)) return `[${[...new Set(value.map(structureOf))].sort().join()}]`;
  if (typeof value !== 'object' || value === null) return typeof value;
  const fields = Object.entries(value).map(([key, field]) => `${key}:${structureOf(field)}`);
  return `{${fields.join()}}`;
}

function structureOfText(text: string): string {
  const json = text.slice(text.indexOf('{'));
  return json.startsWith('{') ? structureOf(JSON.parse(json)) : '';
}

/**
 * Control cores, an agent core and the proxy beside it on virtual time, with fixed delays. Every message passes through
 * its wire form, and the JSON texts that the processes write and send are recorded.
 */
export class RecordedCluster {
  /** Distinct JSON texts by the sort of message, stored part or answer that carried them, in order. */
  readonly bodies: Record<string, string[]> = {};
  /** What the agent sent to the proxy beside it, bodies left out. */
  readonly feed: object[] = [];
  readonly #plan: RecordedPlan;
  readonly #cores = new Map<string, ControlCore>();
  readonly #agent: AgentCore;
  readonly #zones = new Map<string, string>();
  readonly #answers = new Map<number, Answer>();
  readonly #structures = new Map<string, Set<string>>();
  readonly #held = new Map<string, { epoch: number; count: number }>();
  #events: Timed[] = [];
  #now = 0;
  #commandId = 0;
  #proxyNonce = 0;

  constructor(plan: RecordedPlan) {
    this.#plan = plan;
    const seeds = plan.nodes.map(({ id }) => id);
    for (const [index, { id, zone, stored }] of plan.nodes.entries()) {
      const settings = { ...plan.settings(), me: id, zone, seeds, incarnation: 1000 * (index + 1) };
      this.#cores.set(id, new ControlCore(settings, stored, this.now, plan.vote));
      this.#zones.set(id, zone);
    }
    this.#agent = new AgentCore(
      {
        me: AGENT,
        zone: plan.nodes[0]?.zone ?? '',
        seeds,
        freshnessBoundMs: 2500,
        incarnation: 7,
        isDeployed: plan.isDeployed,
      },
      this.now,
    );
  }

  get now(): Moment {
    return moment(this.#now);
  }

  core(id: string): ControlCore {
    const core = this.#cores.get(id);
    if (!core) throw new Error(`no node ${id}`);
    return core;
  }

  /** The node that leads and has taken over the state; throws if there is none. */
  leader(): string {
    for (const [id, core] of this.#cores) if (core.isServing) return id;
    throw new Error('no leader');
  }

  follower(): string {
    const leader = this.leader();
    for (const id of this.#cores.keys()) if (id !== leader) return id;
    throw new Error('no follower');
  }

  run(durationMs: number): void {
    for (const end = this.#now + durationMs; this.#now < end;) this.#step();
  }

  /** Sends a command to a node's own API and waits for the answer; throws if none comes in time. */
  command(id: string, verb: string, body: object): Answer {
    this.#commandId += 1;
    const commandId = this.#commandId;
    this.core(id).onCommand(this.now, commandId, verb, JSON.stringify(body));
    this.#drain(id);
    for (const end = this.#now + ANSWER_LIMIT_MS; this.#now < end; this.#step()) {
      const answer = this.#answers.get(commandId);
      if (!answer) continue;
      this.#record(`answer to ${verb}`, `${answer.status} ${answer.body}`);
      return answer;
    }
    throw new Error(`no answer to ${verb}`);
  }

  #step(): void {
    this.#now += STEP_MS;
    const due = this.#events.filter(({ at }) => at <= this.#now);
    this.#events = this.#events.filter(({ at }) => at > this.#now);
    for (const { run } of due) run();
    if (this.#now % TICK_MS === 0)
      for (const [id, core] of this.#cores) {
        core.tick(this.now);
        this.#drain(id);
      }
    if (this.#now % AGENT_TICK_MS === 0) {
      this.#agent.tick(this.now);
      this.#drainAgent();
    }
    if (this.#now % PROXY_TICK_MS === 0) this.#tickProxy();
  }

  #schedule(delayMs: number, run: () => void): void {
    this.#events.push({ at: this.#now + delayMs, run });
  }

  #record(sort: string, text: string): void {
    const samples = (this.bodies[sort] ??= []);
    if (samples.length >= MAX_SAMPLES || samples.includes(text)) return;
    const structures = this.#structuresOf(sort);
    const structure = structureOfText(text);
    if (samples.length >= FIRST_SAMPLES && structures.has(structure)) return;
    structures.add(structure);
    samples.push(text);
  }

  #structuresOf(sort: string): Set<string> {
    const structures = this.#structures.get(sort) ?? new Set<string>();
    this.#structures.set(sort, structures);
    return structures;
  }

  #drain(id: string): void {
    for (const effect of this.core(id).drain()) this.#carryOut(id, effect);
  }

  #carryOut(id: string, effect: ControlEffect): void {
    switch (effect.do) {
      case 'send':
        this.#send(id, effect.to, effect.message);
        break;
      case 'store':
        this.#record(`stored ${effect.partition}`, effect.body);
        this.#schedule(DISK_MS, () => {
          this.core(id).onPersisted(this.now, effect.partition, effect.version);
          this.#drain(id);
        });
        break;
      case 'reply':
        this.#answers.set(effect.id, { status: effect.status, body: effect.body });
        break;
      default:
        this.#plan.outside.perform(this.now, effect, (delayMs, input) => {
          this.#schedule(delayMs, () => {
            input(this.core(id), this.now);
            this.#drain(id);
          });
        });
        break;
    }
  }

  #drainAgent(): void {
    for (const effect of this.#agent.drain())
      if (effect.do === 'send') this.#send(AGENT, effect.to, effect.message);
  }

  #send(from: string, to: string, message: Message): void {
    this.#recordMessage(message);
    const bytes = encodeMessage(message);
    this.#schedule(NETWORK_MS, () => {
      this.#deliver(from, to, decodeMessage(bytes));
    });
  }

  #recordMessage(message: Message): void {
    if (!('body' in message)) return;
    const { kind, body } = message;
    if ('topic' in message) this.#record(`${kind} ${message.topic}`, body);
    else if ('verb' in message) this.#record(`${kind} ${message.verb}`, body);
    else if ('part' in message) this.#record(`${kind} ${message.part}`, body);
    else this.#record(kind, body);
  }

  #deliver(from: string, to: string, message: Message): void {
    if (to === PROXY) {
      this.#receiveAtProxy(message);
    } else if (to === AGENT) {
      this.#agent.onMessage(this.now, from, from === PROXY ? 'flow' : 'mind', message);
      this.#drainAgent();
    } else if (this.#cores.has(to)) {
      this.core(to).onMessage(this.now, from, message, this.#zones.get(from));
      this.#drain(to);
    }
  }

  #receiveAtProxy(message: Message): void {
    if (this.feed.length < MAX_FEED)
      this.feed.push('body' in message ? { ...message, body: undefined } : message);
    if (message.kind !== 'update' && message.kind !== 'delta') return;
    const { topic, epoch, count } = message;
    this.#held.set(topic, { epoch, count });
    if (topic === 'config') this.#send(PROXY, AGENT, { kind: 'ack', epoch, count });
  }

  #tickProxy(): void {
    this.#proxyNonce += 1;
    const have = [...this.#held].map(([topic, version]) => ({ topic, ...version }));
    const nonce = this.#proxyNonce;
    this.#send(PROXY, AGENT, { kind: 'freshnessRequest', nonce, have, members: [] });
    this.#send(PROXY, AGENT, { kind: 'demand', body: this.#plan.demand(this.now) });
  }
}
