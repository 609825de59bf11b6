import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { readBody } from '../common/call.js';
import type { Moment } from '../common/ids.js';
import { mayWrite, remainingOrderTimeMs, type Lease } from './lease.js';

/** The result of a call that was made within the lease. */
export interface LeasedResponse {
  /** The HTTP status of the response; `undefined` if there was none. */
  readonly status: number | undefined;
  /** Whether anything was written: if so, the call may have had its effect. */
  readonly isWritten: boolean;
}

/** Nothing is written on a connection that was not established within this time. */
export const CONNECT_TIMEOUT_MS = 500;
/** A call without a response ends after this time, or earlier if the lease ends. */
export const RESPONSE_TIMEOUT_MS = 1000;
/** The response to an order is not read beyond this size, bytes. */
export const MAX_RESPONSE_BYTES = 65_536;

/**
 * Sends a request that only the holder of the lease may send. The connection is established first, so that the lease is
 * checked right before the first byte is written. The returned promise never rejects.
 */
export function sendWithinLease(
  request: ClientRequest,
  body: string,
  lease: Lease,
  now: () => Moment,
): Promise<LeasedResponse> {
  return new LeasedCall(request, body, lease, now).run();
}

/** One request on its own connection. */
class LeasedCall {
  readonly #request: ClientRequest;
  readonly #body: string;
  readonly #lease: Lease;
  readonly #now: () => Moment;
  readonly #timers: NodeJS.Timeout[] = [];
  #resolve: ((response: LeasedResponse) => void) | undefined;
  #isWritten = false;

  constructor(request: ClientRequest, body: string, lease: Lease, now: () => Moment) {
    this.#request = request;
    this.#body = body;
    this.#lease = lease;
    this.#now = now;
  }

  run(): Promise<LeasedResponse> {
    return new Promise((resolve) => {
      this.#resolve = resolve;
      this.#start();
    });
  }

  #start(): void {
    const request = this.#request;
    request.once('socket', (socket: Socket) => this.#onSocket(socket));
    request.once('response', (response: IncomingMessage) => void this.#onResponse(response));
    request.on('error', () => this.#end(undefined));
    const timeoutMs = Math.min(RESPONSE_TIMEOUT_MS, remainingOrderTimeMs(this.#lease, this.#now()));
    this.#timers.push(
      setTimeout(() => this.#onConnectTimeout(), CONNECT_TIMEOUT_MS),
      setTimeout(() => this.#end(undefined), timeoutMs),
    );
  }

  #onSocket(socket: Socket): void {
    socket.setNoDelay(true);
    if (socket.connecting) socket.once('connect', () => this.#write());
    else this.#write();
  }

  #write(): void {
    if (!this.#resolve || !mayWrite(this.#lease, this.#now())) {
      this.#end(undefined);
      return;
    }
    this.#isWritten = true;
    this.#request.end(this.#body);
  }

  async #onResponse(response: IncomingMessage): Promise<void> {
    try {
      await readBody(response, MAX_RESPONSE_BYTES);
    } catch {
      // Only the status matters: an incomplete body does not change the result.
    }
    this.#end(response.statusCode ?? 0);
  }

  #onConnectTimeout(): void {
    if (!this.#isWritten) this.#end(undefined);
  }

  #end(status: number | undefined): void {
    const resolve = this.#resolve;
    if (!resolve) return;
    this.#resolve = undefined;
    for (const timer of this.#timers) clearTimeout(timer);
    this.#request.destroy();
    resolve({ status, isWritten: this.#isWritten });
  }
}
