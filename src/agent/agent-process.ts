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

export const AGENT_TICK_MS = 100;
export const AGENT_FRESHNESS_BOUND_MS = 2500;

export interface AgentSettings {
  /** Where nodes reach it, and where it feeds the proxy beside it. */
  readonly me: string;
  readonly feed: string;
  readonly zone: string;
  readonly seeds: readonly string[];
}

/** The agent's process in a deployment whose proxies do not work by being confirmed fresh. */
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
      this.#tell(error),
    );
    const proxies = new Exchange(
      { id: feed, role: 'link', zone, listen: feed, reach: {} },
      (error) => this.#tell(error),
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

  async start(): Promise<void> {
    await this.#runtime.start();
    this.#runtime.tick();
  }

  stop(): void {
    this.#runtime.stop();
  }

  setSeeds(seeds: readonly string[]): void {
    this.#runtime.submit(() => this.#core.setSeeds(seeds));
  }

  inspect(incoming: Incoming): Message {
    return incoming.message;
  }

  log(note: AgentLogEvent): void {
    this.#log.info(note.fields, note.text);
  }

  /** Nobody scrapes an agent, since it listens for its own kind alone: it tells its metrics when its state changes. */
  onTicked(now: Moment): void {
    const metrics = this.#core.metrics(now);
    const state = agentState(metrics);
    if (state === this.#state) return;
    this.#state = state;
    this.#log.info({ state, ...metrics }, 'agent state');
  }

  #tell(error: HaretrackError): void {
    this.#log.warn({ defect: error.code }, error.message);
  }
}
