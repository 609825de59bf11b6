import { interval, merge, Subscription } from 'rxjs';
import type { Infer } from 'superstruct';
import type { Logger } from 'pino';
import { newIncarnation } from '../common/Incarnation.js';
import { monotonicNow } from '../common/Clock.js';
import { Counters } from '../common/Counters.js';
import type { CodedError } from '../common/CodedError.js';
import { SerialQueue } from '../common/SerialQueue.js';
import type { TableAgentSettingsShape } from '../common/Settings.js';
import { Exchange, type Incoming } from '../dissemination/Exchange.js';
import { renderMetrics, type Exposition } from '../metrics/Exposition.js';
import { AgentCore } from './AgentCore.js';
import { agentFamilies } from './AgentMetrics.js';

const TICK_MS = 25;

/** The agent's process: one exchange to the nodes, one to the proxy beside it over loopback. */
export class TableAgentProcess {
  readonly #settings: Infer<typeof TableAgentSettingsShape>;
  readonly #log: Logger;
  readonly #counters = new Counters();
  readonly #owner = new SerialQueue();
  readonly #nodes: Exchange;
  readonly #feed: Exchange;
  readonly #core: AgentCore;
  readonly #subscription = new Subscription();

  constructor(settings: Infer<typeof TableAgentSettingsShape>, log: Logger) {
    this.#settings = settings;
    this.#log = log;
    const { listen, feed, zone, seeds, blindMs, reach } = settings;
    this.#nodes = new Exchange(
      { id: listen, role: 'link', zone, listen, reach },
      this.#tell.bind(this),
    );
    this.#feed = new Exchange(
      { id: feed, role: 'link', zone, listen: feed, reach: {} },
      this.#tell.bind(this),
    );
    this.#core = new AgentCore(
      { me: listen, zone, seeds, blindMs, incarnation: newIncarnation() },
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
      interval(TICK_MS).subscribe(this.#work.bind(this, this.#tick.bind(this))),
    );
    this.#log.info({ zone: this.#settings.zone }, 'link started');
  }

  stop(): void {
    this.#subscription.unsubscribe();
    this.#nodes.close();
    this.#feed.close();
  }

  counters(): object {
    this.#counters.set('session.turns', this.#core.turns);
    this.#counters.set('news.sent', this.#core.relay.sent);
    return {
      ...this.#counters.all(),
      controlNode: this.#core.controlNode,
      parent: this.#core.parent,
    };
  }

  async metrics(): Promise<Exposition> {
    return renderMetrics(agentFamilies(this.#core.metrics(monotonicNow())));
  }

  #tell(defect: CodedError): void {
    this.#counters.add(`defects.${defect.kind}`);
    this.#log.warn({ defect: defect.kind }, defect.message);
  }

  #work(command: () => void): void {
    this.#owner.submit(this.#do.bind(this, command));
  }

  #do(command: () => void): void {
    command();
    for (const effect of this.#core.drain()) {
      if (effect.do === 'note') this.#log.info(effect.fields, effect.text);
      else if (effect.to.startsWith('flow@')) this.#feed.send(effect.to, effect.message);
      else this.#nodes.send(effect.to, effect.message);
    }
  }

  #tick(): void {
    this.#nodes.dial(this.#core.controlNode);
    this.#core.tick(monotonicNow());
  }

  #receive(incoming: Incoming): void {
    this.#counters.add(`messages.${incoming.message.kind}`);
    this.#work(
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
    this.#work(this.#core.gone.bind(this.#core, monotonicNow(), id));
  }
}
