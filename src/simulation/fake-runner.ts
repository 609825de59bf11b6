import { number, string, type, type Infer } from 'superstruct';
import { parseAs } from '../common/json.js';
import { textOf, type Endpoint, type Payload } from './endpoint.js';
import type { Host } from './sim-network.js';
import type { SimProcess } from './sim-process.js';

const OrderShape = type({ holder: string(), fence: number() });
export type RunnerOrder = Infer<typeof OrderShape>;

export const ORDER_ACCEPTED = 202;
export const ORDER_FENCED = 412;
const ORDER_MALFORMED = 400;

/** One order as a runner saw it. */
export interface ArrivedOrder {
  readonly runner: string;
  readonly holder: string;
  readonly fence: number;
  readonly at: number;
  readonly isAccepted: boolean;
}

export type OrderListener = (order: ArrivedOrder) => void;

/** A runner that is always there. It takes orders at once and, where it checks fences, none with a lower one. */
export class FakeRunner implements Host {
  readonly id: string;
  readonly process: SimProcess;
  readonly isPowered = true;
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

  accept(endpoint: Endpoint): void {
    const handle = (text: string) => this.#handle(text);
    function data(payload: Payload): void {
      endpoint.send(String(handle(textOf(payload))));
    }
    function closed(): void {
      /* The caller gave up; what it ordered stands. */
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
