import { decodeMessage, encodeMessage, type Message } from '../common/messages.js';
import { UNTRACED, type RunTrace } from './run-trace.js';
import type { Scheduler } from './scheduler.js';
import type { SeededRandom } from './seeded-random.js';

/** Hands a message to its recipient. */
export type DeliverMessage = (to: string, from: string, message: Message) => void;

/** The simulated network: ordered delivery per pair of nodes, with delays, one-way partitions and message loss. */
export class Network {
  readonly #scheduler: Scheduler;
  readonly #seeded: SeededRandom;
  readonly #deliver: DeliverMessage;
  /** The trace of the run; nodes add what does not pass through the network. */
  readonly trace: RunTrace;
  readonly #cuts = new Set<string>();
  readonly #lastDeliveryAt = new Map<string, number>();
  /** Probability that a message is lost. */
  lossProbability = 0;
  /** Upper bound of the random delay of a message, ms. */
  maxDelayMs = 5;
  #sent = 0;
  readonly #agentIds = new Set<string>();

  constructor(
    scheduler: Scheduler,
    seeded: SeededRandom,
    deliver: DeliverMessage,
    trace: RunTrace = UNTRACED,
  ) {
    this.#scheduler = scheduler;
    this.#seeded = seeded;
    this.#deliver = deliver;
    this.trace = trace;
  }

  /** Number of messages sent, including lost ones. */
  get sent(): number {
    return this.#sent;
  }

  /** The ids of all agents that have sent a message. */
  get agentIds(): ReadonlySet<string> {
    return this.#agentIds;
  }

  /** Blocks messages in one direction; messages in flight are lost too. */
  cut(from: string, to: string): void {
    this.#cuts.add(`${from}\n${to}`);
  }

  /** Removes the cut in one direction. */
  heal(from: string, to: string): void {
    this.#cuts.delete(`${from}\n${to}`);
  }

  /** Removes all cuts, and resets loss and delay. */
  healAll(): void {
    this.#cuts.clear();
    this.lossProbability = 0;
    this.maxDelayMs = 5;
  }

  /** Whether messages in this direction are blocked. */
  isCut(from: string, to: string): boolean {
    return this.#cuts.has(`${from}\n${to}`);
  }

  /** Draws a delay for one message, ms. */
  delay(): number {
    return this.#seeded.between(0.2, this.maxDelayMs);
  }

  /** Sends a message; it is lost if the direction is cut now or on arrival, or by the loss rate. */
  send(from: string, to: string, message: Message): void {
    this.#sent += 1;
    this.trace.message(this.#scheduler.now, from, to, message);
    if (from.startsWith('link-')) this.#agentIds.add(from);
    if (this.isCut(from, to) || this.#seeded.isLikely(this.lossProbability)) return;
    const key = `${from}\n${to}`;
    const at = Math.max(this.#scheduler.now + this.delay(), this.#lastDeliveryAt.get(key) ?? 0);
    this.#lastDeliveryAt.set(key, at);
    // Encoding and decoding keeps nodes from sharing objects and shows that every message can be encoded.
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
