import type { OrderResult } from '../control/control-effect.js';
import { mayWrite, remainingOrderTimeMs, type Lease } from '../control/lease.js';
import { RESPONSE_TIMEOUT_MS, CONNECT_TIMEOUT_MS } from '../control/leased-send.js';
import { textOf, type Endpoint, type Payload } from './endpoint.js';
import { ORDER_FENCED, ORDER_ACCEPTED, type RunnerOrder } from './fake-runner.js';
import type { Host, SimNetwork } from './sim-network.js';

export interface LeasedOrderSettings {
  readonly network: SimNetwork;
  readonly host: Host;
  readonly runner: string;
  readonly order: RunnerOrder;
  readonly lease: Lease;
  /** Told right before the bytes are written, after the lease was checked. */
  readonly writing: (write: () => void) => void;
  readonly done: (result: OrderResult) => void;
}

function resultOf(status: string): OrderResult {
  if (status === String(ORDER_ACCEPTED)) return 'taken';
  if (status === String(ORDER_FENCED)) return 'refused';
  return 'unsure';
}

/**
 * One order to a runner under a lease, as the real process sends it: the connection first, the lease
 * checked right before the write, and the call cut off before the lease ends.
 */
export class LeasedOrder {
  readonly #settings: LeasedOrderSettings;
  #endpoint: Endpoint | undefined;
  #isWritten = false;
  #isOver = false;

  constructor(settings: LeasedOrderSettings) {
    this.#settings = settings;
  }

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
