import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { readBody } from '../common/call.js';
import type { Moment } from '../common/ids.js';
import { mayWrite, remainingOrderTimeMs, type Lease } from './lease.js';

/** How a call within the lease ended. */
export interface LeasedResponse {
  /** HTTP status of the response; undefined if none came. */
  readonly status: number | undefined;
  /** Whether anything was written: if so, the call may have had its effect. */
  readonly isWritten: boolean;
}

/** Nothing is written on a connection that was not made within this time. */
export const CONNECT_TIMEOUT_MS = 500;
/** A call without a response ends after so long, or earlier with the lease. */
export const RESPONSE_TIMEOUT_MS = 1000;
/** A longer body of a response is not read to its end. */
const MAX_RESPONSE_BYTES = 65_536;

/**
 * Sends a call that only the holder of the lease may make. The connection is made first, so that the lease is checked
 * right before the first byte is written. Never rejects.
 */
export function sendWithinLease(
  sent: ClientRequest,
  body: string,
  lease: Lease,
  now: () => Moment,
): Promise<LeasedResponse> {
  return new LeasedCall(sent, body, lease, now).run();
}

/** One call on its own connection. */
class LeasedCall {
  readonly #request: ClientRequest;
  readonly #body: string;
  readonly #lease: Lease;
  readonly #now: () => Moment;
  readonly #timers: NodeJS.Timeout[] = [];
  #resolve: ((response: LeasedResponse) => void) | undefined;
  #isWritten = false;

  constructor(sent: ClientRequest, body: string, lease: Lease, now: () => Moment) {
    this.#request = sent;
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
    const sent = this.#request;
    sent.once('socket', (socket: Socket) => this.#onSocket(socket));
    sent.once('response', (response: IncomingMessage) => void this.#onResponse(response));
    sent.on('error', () => this.#end(undefined));
    const limitMs = Math.min(RESPONSE_TIMEOUT_MS, remainingOrderTimeMs(this.#lease, this.#now()));
    this.#timers.push(
      setTimeout(() => this.#onConnectTimeout(), CONNECT_TIMEOUT_MS),
      setTimeout(() => this.#end(undefined), limitMs),
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
      // The status alone is the result; a body that breaks off changes nothing.
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
