import { interval, merge, Subscription } from 'rxjs';
import { monotonicNow } from '../common/Clock.js';
import type { Message } from '../common/Messages.js';
import { newIncarnation } from '../common/Incarnation.js';
import { SerialQueue } from '../common/SerialQueue.js';
import { compareVersions } from '../common/Version.js';
import { AgentCore } from '../agent/AgentCore.js';
import { Exchange, type Incoming } from '../dissemination/Exchange.js';
import type { EdgePlace } from './ScaleShape.js';
import { CountedExchange, frameBytes, type Count, Tally } from './Tally.js';

const TICK_MS = 100;
const BLIND_MS = 2500;

/** Bodies of news that the links of one process share: a synthetic link holds no copy of its own. */
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
export class ScaleAgent {
  readonly #place: EdgePlace;
  readonly #bodies: Bodies;
  readonly #owner = new SerialQueue();
  readonly #nodes: CountedExchange;
  readonly #feed: CountedExchange;
  readonly #core: AgentCore;
  readonly #subscription = new Subscription();
  readonly nodeTally = new Tally();
  readonly feedTally = new Tally();
  /** News that came though they were held already. */
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
      { me, zone, seeds, blindMs: BLIND_MS, incarnation: newIncarnation(), isDeployed: true },
      monotonicNow(),
    );
  }

  get id(): string {
    return this.#place.link;
  }
  get parent(): string {
    return this.#core.parent;
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

  #submit(command: () => void): void {
    this.#owner.submit(this.#work.bind(this, command));
  }

  #work(command: () => void): void {
    command();
    for (const effect of this.#core.drain()) {
      if (effect.do === 'note') continue;
      if (effect.to.startsWith('flow@')) this.#feed.send(effect.to, effect.message);
      else this.#nodes.send(effect.to, effect.message);
    }
  }

  #tick(): void {
    this.#nodes.dial(this.#core.controlNode);
    this.#core.tick(monotonicNow());
  }

  #receive(incoming: Incoming): void {
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
    this.#submit(
      this.#core.receive.bind(this.#core, monotonicNow(), incoming.from, incoming.role, message),
    );
  }

  #gone(id: string): void {
    this.#submit(this.#core.gone.bind(this.#core, monotonicNow(), id));
  }
}

function ignore(): void {
  /* the run judges by what arrives */
}
