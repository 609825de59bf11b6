import type { Infer } from 'superstruct';
import type { Logger } from 'pino';
import { newIncarnation } from '../common/incarnation.js';
import { monotonicNow } from '../common/clock.js';
import { Counters } from '../common/counters.js';
import type { HaretrackError } from '../common/errors.js';
import type { Message } from '../common/messages.js';
import type { TableAgentSettingsShape } from '../common/settings.js';
import { Exchange, type Incoming } from '../dissemination/exchange.js';
import { renderMetrics, type Exposition } from '../metrics/exposition.js';
import { AgentCore } from './agent-core.js';
import { agentFamilies } from './agent-metrics.js';
import { AgentRuntime, type AgentLogEvent, type AgentPorts } from './agent-runtime.js';

const TICK_MS = 25;

/** The agent's process: one exchange with the nodes, and one over loopback with the proxy next to it. */
export class TableAgentProcess implements AgentPorts {
  readonly tickMs = TICK_MS;
  readonly #zone: string;
  readonly #log: Logger;
  readonly #counters = new Counters();
  readonly #core: AgentCore;
  readonly #runtime: AgentRuntime;

  constructor(settings: Infer<typeof TableAgentSettingsShape>, log: Logger) {
    this.#log = log;
    const { listen, feed, zone, seeds, blindMs, reach } = settings;
    this.#zone = zone;
    const nodes = new Exchange({ id: listen, role: 'link', zone, listen, reach }, (error) =>
      this.#recordError(error),
    );
    const proxies = new Exchange(
      { id: feed, role: 'link', zone, listen: feed, reach: {} },
      (error) => this.#recordError(error),
    );
    this.#core = new AgentCore(
      { me: listen, zone, seeds, freshnessBoundMs: blindMs, incarnation: newIncarnation() },
      monotonicNow(),
    );
    this.#runtime = new AgentRuntime(this.#core, nodes, proxies, this);
  }

  /** Opens the ports of both exchanges and starts the timer; fails if a port cannot be opened. */
  async start(): Promise<void> {
    await this.#runtime.start();
    this.#log.info({ zone: this.#zone }, 'agent started');
  }

  /** Stops the timer and closes all connections. */
  stop(): void {
    this.#runtime.stop();
  }

  /** The counters for the status port, with the current control node and parent. */
  counters(): object {
    this.#counters.set('session.turns', this.#core.sessionMoves);
    this.#counters.set('news.sent', this.#core.relay.sentCount);
    return {
      ...this.#counters.all(),
      controlNode: this.#core.controlNode,
      parent: this.#core.parent,
    };
  }

  /** The metrics in the text format of Prometheus. */
  async metrics(): Promise<Exposition> {
    return renderMetrics(agentFamilies(this.#core.metrics(monotonicNow())));
  }

  /** Counts each message by kind and passes it on unchanged. */
  inspect(incoming: Incoming): Message {
    this.#counters.add(`messages.${incoming.message.kind}`);
    return incoming.message;
  }

  /** Writes a log line of the core. */
  log(event: AgentLogEvent): void {
    this.#log.info(event.fields, event.text);
  }

  onTicked(): void {
    /* The metrics are served by the status port on request. */
  }

  #recordError(error: HaretrackError): void {
    this.#counters.add(`defects.${error.code}`);
    this.#log.warn({ defect: error.code }, error.message);
  }
}
