import { monotonicNow } from '../common/clock.js';
import type { Message } from '../common/messages.js';
import { newIncarnation } from '../common/incarnation.js';
import { compareVersions } from '../common/version.js';
import { AgentCore } from '../agent/agent-core.js';
import { AgentRuntime, type AgentPorts } from '../agent/agent-runtime.js';
import { Exchange, type Incoming } from '../dissemination/exchange.js';
import type { EdgePlace } from './scale-shape.js';
import { CountedExchange, frameBytes, type Count, Tally } from './tally.js';

const TICK_MS = 100;
const BLIND_MS = 2500;

/** Bodies of updates that the agents of one process share: a synthetic agent holds no copy of its own. */
export class Bodies {
  readonly #known = new Map<string, string>();

  share(message: Message): Message {
    if (message.kind !== 'update') return message;
    const key = `${message.topic} ${message.epoch}.${message.count}`;
    const body = this.#known.get(key);
    if (body !== undefined) return { ...message, body };
    this.#known.set(key, message.body);
    const [oldest] = this.#known.keys();
    if (this.#known.size > 6 && oldest !== undefined) this.#known.delete(oldest);
    return message;
  }
}

/** An agent as a deployment puts it together, counted; many of them may stand in one process. */
export class ScaleAgent implements AgentPorts {
  readonly tickMs = TICK_MS;
  readonly #place: EdgePlace;
  readonly #bodies: Bodies;
  readonly #nodes: CountedExchange;
  readonly #feed: CountedExchange;
  readonly #core: AgentCore;
  readonly #runtime: AgentRuntime;
  readonly nodeTally = new Tally();
  readonly feedTally = new Tally();
  /** Updates that came though they were held already. */
  readonly repeats: Count = { messages: 0, bytes: 0 };

  constructor(place: EdgePlace, seeds: readonly string[], bodies: Bodies) {
    this.#place = place;
    this.#bodies = bodies;
    const { link: me, feed, zone } = place;
    this.#nodes = new CountedExchange(
      new Exchange({ id: me, role: 'link', zone, listen: me, reach: {} }, ignore),
      this.nodeTally,
    );
    this.#feed = new CountedExchange(
      new Exchange({ id: feed, role: 'link', zone, listen: feed, reach: {} }, ignore),
      this.feedTally,
    );
    this.#core = new AgentCore(
      {
        me,
        zone,
        seeds,
        freshnessBoundMs: BLIND_MS,
        incarnation: newIncarnation(),
        isDeployed: true,
      },
      monotonicNow(),
    );
    this.#runtime = new AgentRuntime(this.#core, this.#nodes, this.#feed, this);
  }

  get id(): string {
    return this.#place.link;
  }
  get parent(): string {
    return this.#core.parent;
  }

  async start(): Promise<void> {
    await this.#runtime.start();
    this.#runtime.tick();
  }

  stop(): void {
    this.#runtime.stop();
  }

  inspect(incoming: Incoming): Message {
    const message = this.#bodies.share(incoming.message);
    if (incoming.role === 'flow') this.#feed.took(message);
    else this.#nodes.took(message);
    if (
      (message.kind === 'update' || message.kind === 'delta') &&
      compareVersions(message, this.#core.relay.version(message.topic)) <= 0
    ) {
      this.repeats.messages += 1;
      this.repeats.bytes += frameBytes(message);
    }
    return message;
  }

  log(): void {
    /* nobody reads notes of thousands of agents */
  }

  onTicked(): void {
    /* a run asks for figures itself */
  }
}

function ignore(): void {
  /* the run judges by what arrives */
}
