/** Records the JSON bodies of a cluster on virtual time, for comparison with those of an earlier build. */
import { AgentCore } from '../../agent/agent-core.js';
import { moment, type Moment } from '../../common/ids.js';
import { decodeMessage, encodeMessage, type Message } from '../../common/messages.js';
import { ControlCore } from '../../control/control-core.js';
import type { ControlEffect, ControlSettings } from '../../control/control-effect.js';
import type { VoteSettings } from '../../election/vote-settings.js';
import type { StoredPartition } from '../../state/store.js';

/** A control node at start-up. */
export interface RecordedNode {
  readonly id: string;
  readonly zone: string;
  /** The partitions on its disk. */
  readonly stored: readonly StoredPartition[];
}

/** Schedules an input to a control node after a delay in milliseconds. */
export type Schedule = (delayMs: number, input: (core: ControlCore, now: Moment) => void) => void;

/** Simulates the systems outside the cluster: the platform, the runners and the weight store. */
export interface ExternalSystems {
  /** Performs an effect of a control node; `schedule` returns the result to it. */
  perform(now: Moment, effect: ControlEffect, schedule: Schedule): void;
}

/** Options of a recorded cluster, which differ between routes and a policy table. */
export interface RecordedClusterOptions {
  readonly nodes: readonly RecordedNode[];
  /** Creates new settings for each node, since nodes must not share a planner. */
  settings(): Omit<ControlSettings, 'me' | 'zone' | 'seeds' | 'incarnation'>;
  readonly vote: VoteSettings;
  readonly externalSystems: ExternalSystems;
  /** The body of the proxy's demand report at `now`. */
  demand(now: Moment): string;
  /** Whether the agent runs as in a deployment with routes. */
  readonly isDeployed: boolean;
}

/** The reply to an operator's command. */
export interface Answer {
  readonly status: number;
  readonly body: string;
}

interface ScheduledEvent {
  readonly at: number;
  readonly run: () => void;
}

const STEP_MS = 10;
const CONTROL_TICK_MS = 50;
const AGENT_TICK_MS = 100;
const NETWORK_DELAY_MS = 10;
const DISK_WRITE_MS = 20;
const PROXY_TICK_MS = 500;
const ANSWER_TIMEOUT_MS = 8000;
const AGENT_ID = '10.0.0.1:7661';
/** The id of the simulated proxy beside the agent. */
export const PROXY_ID = 'flow@10.0.0.1:8080';
/** The first texts of a kind are all recorded, later ones only if their structure is new. */
const UNFILTERED_SAMPLES = 3;
/** Maximum number of recorded texts of a kind. */
const MAX_SAMPLES = 40;
/** Maximum number of recorded messages to the proxy. */
const MAX_FEED_MESSAGES = 60;

/** Describes the structure of a JSON value as text: its keys, the types of its values, and which lists are empty. */
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
 * Runs control cores, an agent core and a simulated proxy beside it on virtual time with fixed delays. Every message is
 * encoded and decoded, and the JSON texts that the processes write and send are recorded.
 */
export class RecordedCluster {
  /** Distinct JSON texts in order, by the kind of the message, stored partition or answer that carried them. */
  readonly bodies: Record<string, string[]> = {};
  /** Messages from the agent to the proxy beside it, without bodies. */
  readonly feed: object[] = [];
  readonly #options: RecordedClusterOptions;
  readonly #cores = new Map<string, ControlCore>();
  readonly #agent: AgentCore;
  readonly #zones = new Map<string, string>();
  readonly #answers = new Map<number, Answer>();
  readonly #structures = new Map<string, Set<string>>();
  readonly #proxyVersions = new Map<string, { epoch: number; count: number }>();
  #events: ScheduledEvent[] = [];
  #now = 0;
  #commandId = 0;
  #proxyNonce = 0;

  constructor(options: RecordedClusterOptions) {
    this.#options = options;
    const seeds = options.nodes.map(({ id }) => id);
    for (const [index, { id, zone, stored }] of options.nodes.entries()) {
      const settings = {
        ...options.settings(),
        me: id,
        zone,
        seeds,
        incarnation: 1000 * (index + 1),
      };
      this.#cores.set(id, new ControlCore(settings, stored, this.now, options.vote));
      this.#zones.set(id, zone);
    }
    this.#agent = new AgentCore(
      {
        me: AGENT_ID,
        zone: options.nodes[0]?.zone ?? '',
        seeds,
        freshnessBoundMs: 2500,
        incarnation: 7,
        isDeployed: options.isDeployed,
      },
      this.now,
    );
  }

  /** The virtual time. */
  get now(): Moment {
    return moment(this.#now);
  }

  /** The core of a node; throws if there is no such node. */
  core(id: string): ControlCore {
    const core = this.#cores.get(id);
    if (!core) throw new Error(`no node ${id}`);
    return core;
  }

  /** The id of the leader that has recovered the state and serves; throws if there is none. */
  leader(): string {
    for (const [id, core] of this.#cores) if (core.isServing) return id;
    throw new Error('no leader');
  }

  /** The id of a node other than the leader; throws if there is no leader. */
  follower(): string {
    const leader = this.leader();
    for (const id of this.#cores.keys()) if (id !== leader) return id;
    throw new Error('no follower');
  }

  /** Advances the virtual time. */
  run(durationMs: number): void {
    for (const end = this.#now + durationMs; this.#now < end;) this.#step();
  }

  /** Sends a command to a node and advances the virtual time until the answer; throws if there is none in time. */
  command(id: string, verb: string, body: object): Answer {
    this.#commandId += 1;
    const commandId = this.#commandId;
    this.core(id).onCommand(this.now, commandId, verb, JSON.stringify(body));
    this.#drain(id);
    for (const end = this.#now + ANSWER_TIMEOUT_MS; this.#now < end; this.#step()) {
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
    if (this.#now % CONTROL_TICK_MS === 0)
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

  #record(kind: string, text: string): void {
    const samples = (this.bodies[kind] ??= []);
    if (samples.length >= MAX_SAMPLES || samples.includes(text)) return;
    const structures = this.#structuresOf(kind);
    const structure = structureOfText(text);
    if (samples.length >= UNFILTERED_SAMPLES && structures.has(structure)) return;
    structures.add(structure);
    samples.push(text);
  }

  #structuresOf(kind: string): Set<string> {
    const structures = this.#structures.get(kind) ?? new Set<string>();
    this.#structures.set(kind, structures);
    return structures;
  }

  #drain(id: string): void {
    for (const effect of this.core(id).drain()) this.#perform(id, effect);
  }

  #perform(id: string, effect: ControlEffect): void {
    switch (effect.do) {
      case 'send':
        this.#send(id, effect.to, effect.message);
        break;
      case 'store':
        this.#record(`stored ${effect.partition}`, effect.body);
        this.#schedule(DISK_WRITE_MS, () => {
          this.core(id).onPersisted(this.now, effect.partition, effect.version);
          this.#drain(id);
        });
        break;
      case 'reply':
        this.#answers.set(effect.id, { status: effect.status, body: effect.body });
        break;
      default:
        this.#options.externalSystems.perform(this.now, effect, (delayMs, input) => {
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
      if (effect.do === 'send') this.#send(AGENT_ID, effect.to, effect.message);
  }

  #send(from: string, to: string, message: Message): void {
    this.#recordMessage(message);
    const bytes = encodeMessage(message);
    this.#schedule(NETWORK_DELAY_MS, () => {
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
    if (to === PROXY_ID) {
      this.#receiveAtProxy(message);
    } else if (to === AGENT_ID) {
      this.#agent.onMessage(this.now, from, from === PROXY_ID ? 'flow' : 'mind', message);
      this.#drainAgent();
    } else if (this.#cores.has(to)) {
      this.core(to).onMessage(this.now, from, message, this.#zones.get(from));
      this.#drain(to);
    }
  }

  #receiveAtProxy(message: Message): void {
    if (this.feed.length < MAX_FEED_MESSAGES)
      this.feed.push('body' in message ? { ...message, body: undefined } : message);
    if (message.kind !== 'update' && message.kind !== 'delta') return;
    const { topic, epoch, count } = message;
    this.#proxyVersions.set(topic, { epoch, count });
    if (topic === 'config') this.#send(PROXY_ID, AGENT_ID, { kind: 'ack', epoch, count });
  }

  #tickProxy(): void {
    this.#proxyNonce += 1;
    const have = [...this.#proxyVersions].map(([topic, version]) => ({ topic, ...version }));
    const nonce = this.#proxyNonce;
    this.#send(PROXY_ID, AGENT_ID, { kind: 'freshnessRequest', nonce, have, members: [] });
    this.#send(PROXY_ID, AGENT_ID, { kind: 'demand', body: this.#options.demand(this.now) });
  }
}
