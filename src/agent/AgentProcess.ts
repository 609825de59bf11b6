import { interval, merge, Subscription } from 'rxjs';
import type { Logger } from 'pino';
import { monotonicNow } from '../common/Clock.js';
import type { CodedError } from '../common/CodedError.js';
import type { Moment } from '../common/Ids.js';
import { newIncarnation } from '../common/Incarnation.js';
import { SerialQueue } from '../common/SerialQueue.js';
import { Exchange, type Incoming } from '../dissemination/Exchange.js';
import { AgentCore } from './AgentCore.js';
import { agentState, type AgentState } from './AgentMetrics.js';

const TICK_MS = 100;
const BLIND_MS = 2500;

export interface AgentSettings {
  /** Where nodes reach it, and where it feeds the proxy beside it. */
  readonly me: string;
  readonly feed: string;
  readonly zone: string;
  readonly seeds: readonly string[];
}

/** The agent's process in a deployment whose proxies do not work by being confirmed fresh. */
export class AgentProcess {
  readonly #log: Logger;
  readonly #owner = new SerialQueue();
  readonly #nodes: Exchange;
  readonly #feed: Exchange;
  readonly #core: AgentCore;
  readonly #subscription = new Subscription();
  #state: AgentState = 'away';

  constructor(settings: AgentSettings, log: Logger) {
    this.#log = log;
    const { me, feed, zone, seeds } = settings;
    this.#nodes = new Exchange(
      { id: me, role: 'link', zone, listen: me, reach: {} },
      this.#tell.bind(this),
    );
    this.#feed = new Exchange(
      { id: feed, role: 'link', zone, listen: feed, reach: {} },
      this.#tell.bind(this),
    );
    this.#core = new AgentCore(
      { me, zone, seeds, blindMs: BLIND_MS, incarnation: newIncarnation(), isDeployed: true },
      monotonicNow(),
    );
  }

  async start(): Promise<void> {
    this.#subscription.add(
      merge(this.#nodes.incoming$, this.#feed.incoming$).subscribe(this.#receive.bind(this)),
    );
    this.#subscription.add(
      merge(this.#nodes.gone$, this.#feed.gone$).subscribe(this.#gone.bind(this)),
    );
    await this.#nodes.open();
    await this.#feed.open();
    this.#subscription.add(
      interval(TICK_MS).subscribe(this.#submit.bind(this, this.#tick.bind(this))),
    );
    this.#submit(this.#tick.bind(this));
  }

  stop(): void {
    this.#subscription.unsubscribe();
    this.#nodes.close();
    this.#feed.close();
  }

  setSeeds(seeds: readonly string[]): void {
    this.#submit(this.#core.setSeeds.bind(this.#core, seeds));
  }

  #tell(defect: CodedError): void {
    this.#log.warn({ defect: defect.kind }, defect.message);
  }

  #submit(command: () => void): void {
    this.#owner.submit(this.#work.bind(this, command));
  }

  #work(command: () => void): void {
    command();
    for (const effect of this.#core.drain()) {
      if (effect.do === 'note') this.#log.info(effect.fields, effect.text);
      else if (effect.to.startsWith('flow@')) this.#feed.send(effect.to, effect.message);
      else this.#nodes.send(effect.to, effect.message);
    }
  }

  #tick(): void {
    this.#nodes.dial(this.#core.controlNode);
    const now = monotonicNow();
    this.#core.tick(now);
    this.#tellState(now);
  }

  /** Nobody scrapes an agent, since it listens for its own kind alone: it tells its metrics when its state changes. */
  #tellState(now: Moment): void {
    const metrics = this.#core.metrics(now);
    const state = agentState(metrics);
    if (state === this.#state) return;
    this.#state = state;
    this.#log.info({ state, ...metrics }, 'agent state');
  }

  #receive(incoming: Incoming): void {
    this.#submit(
      this.#core.receive.bind(
        this.#core,
        monotonicNow(),
        incoming.from,
        incoming.role,
        incoming.message,
      ),
    );
  }

  #gone(id: string): void {
    this.#submit(this.#core.gone.bind(this.#core, monotonicNow(), id));
  }
}
