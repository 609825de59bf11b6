import { interval, merge, Subscription } from 'rxjs';
import type { Infer } from 'superstruct';
import type { Logger } from 'pino';
import { newLife } from '../common/Incarnation.js';
import { monotonicNow } from '../common/Clock.js';
import { Counters } from '../common/Counters.js';
import type { Defect } from '../common/CodedError.js';
import { Owner } from '../common/SerialQueue.js';
import type { LinkSettingsShape } from '../common/Settings.js';
import { Exchange, type Incoming } from '../dissemination/Exchange.js';
import { LinkCore } from './AgentCore.js';

const BEAT_MS = 25;

/** The agent's process: one exchange to the nodes, one to the proxy beside it over loopback. */
export class LinkProcess {
  readonly #settings: Infer<typeof LinkSettingsShape>;
  readonly #log: Logger;
  readonly #counters = new Counters();
  readonly #owner = new Owner();
  readonly #nodes: Exchange;
  readonly #feed: Exchange;
  readonly #core: LinkCore;
  readonly #subscription = new Subscription();

  constructor(settings: Infer<typeof LinkSettingsShape>, log: Logger) {
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
    this.#core = new LinkCore(
      { me: listen, zone, seeds, blindMs, life: newLife() },
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
      interval(BEAT_MS).subscribe(this.#work.bind(this, this.#beat.bind(this))),
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
    return { ...this.#counters.all(), mind: this.#core.mind, parent: this.#core.parent };
  }

  #tell(defect: Defect): void {
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

  #beat(): void {
    this.#nodes.dial(this.#core.mind);
    this.#core.beat(monotonicNow());
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
