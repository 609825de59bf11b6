import type { OrderResult } from '../control/control-effect.js';
import { mayWrite, remainingOrderTimeMs, type Lease } from '../control/lease.js';
import { RESPONSE_TIMEOUT_MS, CONNECT_TIMEOUT_MS } from '../control/leased-send.js';
import { textOf, type Endpoint, type Payload } from './endpoint.js';
import { ORDER_FENCED, ORDER_ACCEPTED, type RunnerOrder } from './fake-runner.js';
import type { Host, SimNetwork } from './sim-network.js';

/** What a leased order is created with. */
export interface LeasedOrderSettings {
  /** The network that the order is sent over. */
  readonly network: SimNetwork;
  /** The control node that sends the order. */
  readonly host: Host;
  /** The address of the runner. */
  readonly runner: string;
  /** The order to send. */
  readonly order: RunnerOrder;
  /** The lease under which it is sent. */
  readonly lease: Lease;
  /** Called after the lease was checked, with the function that writes the order. */
  readonly writing: (write: () => void) => void;
  /** Called once with the result. */
  readonly done: (result: OrderResult) => void;
}

function resultOf(status: string): OrderResult {
  if (status === String(ORDER_ACCEPTED)) return 'taken';
  if (status === String(ORDER_FENCED)) return 'refused';
  return 'unsure';
}

/**
 * One order to a runner under a lease, sent as by the real process: the connection is established first, the lease is
 * checked right before the write, and the call ends before the lease does.
 */
export class LeasedOrder {
  readonly #settings: LeasedOrderSettings;
  #endpoint: Endpoint | undefined;
  #isWritten = false;
  #isOver = false;

  constructor(settings: LeasedOrderSettings) {
    this.#settings = settings;
  }

  /** Starts the order; `done` reports its result. */
  send(): void {
    const { network, host, runner, lease } = this.#settings;
    const { process } = host;
    const timeLeftMs = Math.min(RESPONSE_TIMEOUT_MS, remainingOrderTimeMs(lease, process.now()));
    process.after(CONNECT_TIMEOUT_MS, () => this.#giveUpUnwritten());
    process.after(timeLeftMs, () => this.#giveUp());
    const submit = (run: () => void) => process.submit(`order ${runner}`, run);
    const open = (endpoint: Endpoint) => this.#open(endpoint);
    const inThisLife = (run: () => void) => process.inThisIncarnation(run);
    function connected(endpoint: Endpoint): void {
      inThisLife(() => submit(() => open(endpoint)))();
    }
    const refused = inThisLife(() => submit(() => this.#giveUp()));
    network.connect(host, runner, 'calls', { connected, refused });
  }

  #open(endpoint: Endpoint): void {
    if (this.#isOver) {
      endpoint.close();
      return;
    }
    this.#endpoint = endpoint;
    endpoint.handler = { data: (payload) => this.#receive(payload), closed: () => this.#giveUp() };
    const { lease, host, writing } = this.#settings;
    if (!mayWrite(lease, host.process.now())) {
      this.#giveUp();
      return;
    }
    writing(() => this.#write());
  }

  #write(): void {
    this.#isWritten = true;
    this.#endpoint?.send(JSON.stringify(this.#settings.order));
  }

  #receive(payload: Payload): void {
    this.#end(resultOf(textOf(payload)));
  }

  #giveUpUnwritten(): void {
    if (!this.#isWritten) this.#giveUp();
  }

  #giveUp(): void {
    this.#end(this.#isWritten ? 'unsure' : 'unsent');
  }

  #end(result: OrderResult): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#endpoint?.close();
    this.#settings.done(result);
  }
}
