import { monotonicNow } from '../common/clock.js';
import type { Message } from '../common/messages.js';
import { newIncarnation } from '../common/incarnation.js';
import { compareVersions } from '../common/version.js';
import { AgentCore } from '../agent/agent-core.js';
import { AgentRuntime, type AgentPorts } from '../agent/agent-runtime.js';
import { Exchange, type Incoming } from '../dissemination/exchange.js';
import type { ScaleEdge } from './scale-shape.js';
import { CountedExchange, frameBytes, type Count, Tally } from './tally.js';

/** Interval of the agent's ticks, ms. */
const TICK_MS = 100;
/** Age at which the agent's information counts as stale, ms. */
const FRESHNESS_BOUND_MS = 2500;

/** The most recent bodies of updates, shared by the agents of one process so that each holds no copy of its own. */
export class SharedBodies {
  readonly #bodiesByVersion = new Map<string, string>();

  /** Returns the message with the shared copy of its body; the first message with a body provides that copy. */
  share(message: Message): Message {
    if (message.kind !== 'update') return message;
    const key = `${message.topic} ${message.epoch}.${message.count}`;
    const body = this.#bodiesByVersion.get(key);
    if (body !== undefined) return { ...message, body };
    this.#bodiesByVersion.set(key, message.body);
    const [oldest] = this.#bodiesByVersion.keys();
    if (this.#bodiesByVersion.size > 6 && oldest !== undefined)
      this.#bodiesByVersion.delete(oldest);
    return message;
  }
}

/** An agent assembled as in a deployment, whose messages are counted; many of them can run in one process. */
export class ScaleAgent implements AgentPorts {
  readonly tickMs = TICK_MS;
  readonly #place: ScaleEdge;
  readonly #bodies: SharedBodies;
  readonly #nodes: CountedExchange;
  readonly #feed: CountedExchange;
  readonly #core: AgentCore;
  readonly #runtime: AgentRuntime;
  /** Messages exchanged with control nodes and other agents. */
  readonly nodeTally = new Tally();
  /** Messages exchanged with the proxy. */
  readonly feedTally = new Tally();
  /** Updates received although the agent already had that version or a newer one. */
  readonly repeats: Count = { messages: 0, bytes: 0 };

  constructor(place: ScaleEdge, seeds: readonly string[], bodies: SharedBodies) {
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
        freshnessBoundMs: FRESHNESS_BOUND_MS,
        incarnation: newIncarnation(),
        isDeployed: true,
      },
      monotonicNow(),
    );
    this.#runtime = new AgentRuntime(this.#core, this.#nodes, this.#feed, this);
  }

  /** Address of the agent, which is its id. */
  get id(): string {
    return this.#place.link;
  }
  /** Id of the node that it receives updates from, or ''. */
  get parent(): string {
    return this.#core.parent;
  }

  /** Starts to listen and runs the first tick. */
  async start(): Promise<void> {
    await this.#runtime.start();
    this.#runtime.tick();
  }

  /** Stops the ticks and closes the connections. */
  stop(): void {
    this.#runtime.stop();
  }

  /** Counts a received message and returns it with a shared body. */
  inspect(incoming: Incoming): Message {
    const message = this.#bodies.share(incoming.message);
    if (incoming.role === 'flow') this.#feed.countReceived(message);
    else this.#nodes.countReceived(message);
    if (
      (message.kind === 'update' || message.kind === 'delta') &&
      compareVersions(message, this.#core.relay.version(message.topic)) <= 0
    ) {
      this.repeats.messages += 1;
      this.repeats.bytes += frameBytes(message);
    }
    return message;
  }

  /** Discards log lines. */
  log(): void {
    /* the log of thousands of agents is not read */
  }

  /** Does nothing: a run requests the figures. */
  onTicked(): void {
    /* a run requests the figures */
  }
}

function ignore(): void {
  /* connection errors need no report: the run checks what arrives */
}
