import { number, string, type, type Infer } from 'superstruct';
import { parseAs } from '../common/json.js';
import { textOf, type Endpoint, type Payload } from './endpoint.js';
import type { Host } from './sim-network.js';
import type { SimProcess } from './sim-process.js';

const OrderShape = type({ holder: string(), fence: number() });
/** An order to a runner: the id of the sender and its fence. */
export type RunnerOrder = Infer<typeof OrderShape>;

/** HTTP status for an accepted order. */
export const ORDER_ACCEPTED = 202;
/** HTTP status for an order whose fence is too low. */
export const ORDER_FENCED = 412;
const ORDER_MALFORMED = 400;

/** An order as received by a runner. */
export interface ArrivedOrder {
  /** The runner that received the order. */
  readonly runner: string;
  /** The control node that sent the order. */
  readonly holder: string;
  /** The fence of the order: the epoch of the sender. */
  readonly fence: number;
  /** True time of the arrival. */
  readonly at: number;
  /** Whether the runner accepted the order. */
  readonly isAccepted: boolean;
}

/** Called with each order that a runner receives. */
export type OrderListener = (order: ArrivedOrder) => void;

/** A runner that never fails. It accepts every order at once, unless it checks fences and has seen a higher one. */
export class FakeRunner implements Host {
  /** The address of the runner. */
  readonly id: string;
  /** The process of the runner, which never ends. */
  readonly process: SimProcess;
  /** Runners never lose power. */
  readonly isPowered = true;
  /** Runners always accept connections. */
  readonly isListening = true;
  readonly #isFenced: boolean;
  readonly #now: () => number;
  readonly #listener: OrderListener;
  #highestFence = 0;

  constructor(
    id: string,
    process: SimProcess,
    isFenced: boolean,
    now: () => number,
    listener: OrderListener,
  ) {
    this.id = id;
    this.process = process;
    this.#isFenced = isFenced;
    this.#now = now;
    this.#listener = listener;
    process.begin();
  }

  /** Accepts a connection and answers each order on it with a status. */
  accept(endpoint: Endpoint): void {
    const handle = (text: string) => this.#handle(text);
    function data(payload: Payload): void {
      endpoint.send(String(handle(textOf(payload))));
    }
    function closed(): void {
      /* The caller gave up; its order stays in effect. */
    }
    endpoint.handler = { data, closed };
  }

  #handle(text: string): number {
    const order = parseAs(OrderShape, text);
    if (!order) return ORDER_MALFORMED;
    const isAccepted = !this.#isFenced || order.fence >= this.#highestFence;
    this.#highestFence = Math.max(this.#highestFence, order.fence);
    const { holder, fence } = order;
    this.#listener({ runner: this.id, holder, fence, at: this.#now(), isAccepted });
    return isAccepted ? ORDER_ACCEPTED : ORDER_FENCED;
  }
}
