import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import { readBody } from '../common/call.js';
import type { Moment } from '../common/ids.js';
import type { Intent } from '../placement/shapes.js';
import { parseAddress } from '../common/listen.js';
import { mayWrite, remainingOrderTimeMs, type Lease } from './lease.js';
import { MAX_RESPONSE_BYTES } from './leased-send.js';

/**
 * The outcome of an order. `taken`: the runner accepted it. `turnedAway`: the runner rejected it permanently. `unsure`: it
 * was written, but no definite response came. `unsent`: its body was not written. The values are part of counter names.
 */
export type OrderOutcome = 'taken' | 'turnedAway' | 'unsure' | 'unsent';

/** How long to wait for a runner's `100 Continue` before the order is given up unsent. */
const CONTINUE_TIMEOUT_MS = 1000;
/** How long after its `100 Continue` a runner may still accept the order, by the runner's clock, in milliseconds. */
export const ACCEPT_WITHIN_MS = 300;

/**
 * Sends orders to runners. The headers go first and expect `100 Continue`, so that an unreachable or slow runner never reads
 * an outdated order from its socket; the lease is checked right before the body, which is the order, is written.
 */
export class OrderSender {
  readonly #lease: Lease;
  readonly #now: () => Moment;

  constructor(lease: Lease, now: () => Moment) {
    this.#lease = lease;
    this.#now = now;
  }

  /** Sends one order to the runner at `address`; `holder` is this leader, `epoch` its fencing token. Never rejects. */
  send(intent: Intent, address: string, holder: string, epoch: number): Promise<OrderOutcome> {
    const { host, port } = parseAddress(address);
    const body = JSON.stringify({
      id: intent.id,
      verb: intent.verb,
      model: intent.model,
      adapter: intent.adapter,
      boot: intent.boot,
      size: intent.size,
      holder,
      epoch,
    });
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      expect: '100-continue',
      'x-take-within-ms': ACCEPT_WITHIN_MS,
    };
    const sent = request({ host, port, method: 'POST', path: '/orders', headers, agent: false });
    const attempt = new OrderAttempt(sent, body, this.#lease, this.#now);
    return attempt.run();
  }
}

/** One order on its own connection. */
class OrderAttempt {
  readonly #request: ClientRequest;
  readonly #body: string;
  readonly #lease: Lease;
  readonly #now: () => Moment;
  readonly #timers: NodeJS.Timeout[] = [];
  #resolve: ((outcome: OrderOutcome) => void) | undefined;
  #isWritten = false;

  constructor(sent: ClientRequest, body: string, lease: Lease, now: () => Moment) {
    this.#request = sent;
    this.#body = body;
    this.#lease = lease;
    this.#now = now;
  }

  run(): Promise<OrderOutcome> {
    return new Promise((resolve) => {
      this.#resolve = resolve;
      this.#start();
    });
  }

  #start(): void {
    const sent = this.#request;
    sent.once('continue', () => this.#write());
    sent.once('response', (response: IncomingMessage) => void this.#onResponse(response));
    sent.on('error', () => this.#fail());
    sent.flushHeaders();
    this.#timers.push(
      setTimeout(() => this.#onContinueTimeout(), CONTINUE_TIMEOUT_MS),
      setTimeout(() => this.#fail(), remainingOrderTimeMs(this.#lease, this.#now())),
    );
  }

  /** Writes the order if the lease lasts longer than the margin at which an order in flight is cancelled. */
  #write(): void {
    if (!mayWrite(this.#lease, this.#now())) {
      this.#end('unsent');
      return;
    }
    this.#isWritten = true;
    this.#request.end(this.#body);
  }

  async #onResponse(response: IncomingMessage): Promise<void> {
    try {
      await readBody(response, MAX_RESPONSE_BYTES);
    } catch {
      this.#fail();
      return;
    }
    const status = response.statusCode ?? 0;
    if (status >= 200 && status < 300) this.#end('taken');
    else if (this.#isWritten && status >= 400 && status < 500) this.#end('turnedAway');
    else this.#fail();
  }

  #onContinueTimeout(): void {
    if (!this.#isWritten) this.#end('unsent');
  }

  #fail(): void {
    this.#end(this.#isWritten ? 'unsure' : 'unsent');
  }

  #end(outcome: OrderOutcome): void {
    const resolve = this.#resolve;
    if (!resolve) return;
    this.#resolve = undefined;
    for (const timer of this.#timers) clearTimeout(timer);
    this.#request.destroy();
    resolve(outcome);
  }
}
