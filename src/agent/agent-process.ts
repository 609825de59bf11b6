import type { Logger } from 'pino';
import { monotonicNow } from '../common/clock.js';
import type { HaretrackError } from '../common/errors.js';
import type { Moment } from '../common/ids.js';
import { newIncarnation } from '../common/incarnation.js';
import type { Message } from '../common/messages.js';
import { Exchange, type Incoming } from '../dissemination/exchange.js';
import { AgentCore } from './agent-core.js';
import { agentState, type AgentState } from './agent-metrics.js';
import { AgentRuntime, type AgentLogEvent, type AgentPorts } from './agent-runtime.js';

/** Interval between ticks of the agent's core. */
export const AGENT_TICK_MS = 100;
/** How long a proxy may use its configuration after the last confirmation. */
export const AGENT_FRESHNESS_BOUND_MS = 2500;

/** Settings of an agent's process in a deployment. */
export interface AgentSettings {
  /** Its node id: the address at which other nodes reach it. */
  readonly me: string;
  /** The address at which it sends updates to the proxy next to it. */
  readonly feed: string;
  readonly zone: string;
  /** Ids of the control nodes that it starts with. */
  readonly seeds: readonly string[];
}

/** The agent's process in a deployment, where proxies need no confirmation of freshness. */
export class AgentProcess implements AgentPorts {
  readonly tickMs = AGENT_TICK_MS;
  readonly #log: Logger;
  readonly #core: AgentCore;
  readonly #runtime: AgentRuntime;
  #state: AgentState = 'away';

  constructor(settings: AgentSettings, log: Logger) {
    this.#log = log;
    const { me, feed, zone, seeds } = settings;
    const nodes = new Exchange({ id: me, role: 'link', zone, listen: me, reach: {} }, (error) =>
      this.#logError(error),
    );
    const proxies = new Exchange(
      { id: feed, role: 'link', zone, listen: feed, reach: {} },
      (error) => this.#logError(error),
    );
    this.#core = new AgentCore(
      {
        me,
        zone,
        seeds,
        freshnessBoundMs: AGENT_FRESHNESS_BOUND_MS,
        incarnation: newIncarnation(),
        isDeployed: true,
      },
      monotonicNow(),
    );
    this.#runtime = new AgentRuntime(this.#core, nodes, proxies, this);
  }

  /** Opens the ports of both exchanges and runs the first tick. */
  async start(): Promise<void> {
    await this.#runtime.start();
    this.#runtime.tick();
  }

  /** Stops the timer and closes all connections. */
  stop(): void {
    this.#runtime.stop();
  }

  /** Adds the seeds of changed settings. */
  setSeeds(seeds: readonly string[]): void {
    this.#runtime.submit(() => this.#core.setSeeds(seeds));
  }

  /** Passes each message on unchanged. */
  inspect(incoming: Incoming): Message {
    return incoming.message;
  }

  /** Writes a log line of the core. */
  log(event: AgentLogEvent): void {
    this.#log.info(event.fields, event.text);
  }

  /** Logs the metrics when the state changes: an agent has no port for metrics, it listens for nodes and its proxy only. */
  onTicked(now: Moment): void {
    const metrics = this.#core.metrics(now);
    const state = agentState(metrics);
    if (state === this.#state) return;
    this.#state = state;
    this.#log.info({ state, ...metrics }, 'agent state');
  }

  #logError(error: HaretrackError): void {
    this.#log.warn({ defect: error.code }, error.message);
  }
}
