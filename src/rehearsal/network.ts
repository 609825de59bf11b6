import { decodeMessage, encodeMessage, type Message } from '../common/messages.js';
import { UNTRACED, type RunTrace } from './run-trace.js';
import type { Scheduler } from './scheduler.js';
import type { SeededRandom } from './seeded-random.js';

export type Deliver = (to: string, from: string, message: Message) => void;

/** The simulator's network: lines that keep their order, with delays, one-way cuts and losses. */
export class Network {
  readonly #scheduler: Scheduler;
  readonly #seeded: SeededRandom;
  readonly #deliver: Deliver;
  /** What the run shows to its outside; nodes add to it what does not go over the network. */
  readonly trace: RunTrace;
  readonly #cuts = new Set<string>();
  readonly #last = new Map<string, number>();
  loss = 0;
  mostDelay = 5;
  #sent = 0;
  readonly #links = new Set<string>();

  constructor(
    scheduler: Scheduler,
    seeded: SeededRandom,
    deliver: Deliver,
    trace: RunTrace = UNTRACED,
  ) {
    this.#scheduler = scheduler;
    this.#seeded = seeded;
    this.#deliver = deliver;
    this.trace = trace;
  }

  get sent(): number {
    return this.#sent;
  }

  /** Every link that ever sent anything. */
  get linkIds(): ReadonlySet<string> {
    return this.#links;
  }

  /** Cuts one way; what is on its way is lost too. */
  cut(from: string, to: string): void {
    this.#cuts.add(`${from}\n${to}`);
  }

  heal(from: string, to: string): void {
    this.#cuts.delete(`${from}\n${to}`);
  }

  healAll(): void {
    this.#cuts.clear();
    this.loss = 0;
    this.mostDelay = 5;
  }

  isCut(from: string, to: string): boolean {
    return this.#cuts.has(`${from}\n${to}`);
  }

  delay(): number {
    return this.#seeded.between(0.2, this.mostDelay);
  }

  send(from: string, to: string, message: Message): void {
    this.#sent += 1;
    this.trace.message(this.#scheduler.now, from, to, message);
    if (from.startsWith('link-')) this.#links.add(from);
    if (this.isCut(from, to) || this.#seeded.isLikely(this.loss)) return;
    const key = `${from}\n${to}`;
    const at = Math.max(this.#scheduler.now + this.delay(), this.#last.get(key) ?? 0);
    this.#last.set(key, at);
    // Through the wire form and back, so that nothing is shared between nodes and every message is encodable.
    const bytes = encodeMessage(message);
    const network = {
      isCut: (from: string, to: string) => this.isCut(from, to),
      deliver: this.#deliver,
    };
    this.#scheduler.at(at, () => {
      if (!network.isCut(from, to)) network.deliver(to, from, decodeMessage(bytes));
    });
  }
}
