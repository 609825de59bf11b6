import type { IncomingMessage } from 'node:http';
import type { Counters } from '../common/counters.js';
import type { AttemptHandler } from './attempt-handler.js';
import { ByteRelay } from './byte-relay.js';
import type { Attempt } from './client-exchange.js';
import type { ResponseWriter } from './response-writer.js';
import { hasSelfDefinedLength, isEventStream } from './http-messages.js';
import { StreamRelay } from './stream-relay.js';
import { BufferedRelay, MAX_BUFFERED_BYTES } from './buffered-relay.js';

/**
 * Forwards runners' responses to clients: event streams by complete events, small safe responses buffered, and others as
 * they arrive.
 */
export class ResponseRelay {
  readonly #handler: AttemptHandler;
  readonly #writer: ResponseWriter;
  readonly #counters: Counters;

  constructor(handler: AttemptHandler, writer: ResponseWriter, counters: Counters) {
    this.#handler = handler;
    this.#writer = writer;
    this.#counters = counters;
  }

  /** Starts forwarding the response whose head has arrived. */
  forward(attempt: Attempt): void {
    const { runnerResponse, exchange, send } = attempt;
    if (!runnerResponse) return;
    if (!hasSelfDefinedLength(exchange.clientRequest.method ?? 'GET', runnerResponse))
      this.#handler.abort(attempt);
    else if (isEventStream(runnerResponse))
      new StreamRelay(attempt, runnerResponse, this.#handler, this.#writer, this.#counters).start();
    else if (send.isBuffered && isSmall(runnerResponse))
      new BufferedRelay(attempt, runnerResponse, this.#handler, this.#writer).start();
    else new ByteRelay(attempt, runnerResponse, this.#handler, this.#writer).start();
  }
}

function isSmall(runnerResponse: IncomingMessage): boolean {
  return Number(runnerResponse.headers['content-length'] ?? 0) <= MAX_BUFFERED_BYTES;
}
