import type { IncomingMessage } from 'node:http';
import type { Counters } from '../common/counters.js';
import type { AttemptHandler } from './attempt-handler.js';
import { ByteRelay } from './byte-relay.js';
import type { Attempt } from './client-exchange.js';
import type { ResponseWriter } from './response-writer.js';
import { hasSelfDefinedLength, isEventStream } from './http-messages.js';
import { StreamRelay } from './stream-relay.js';
import { BufferedRelay } from './buffered-relay.js';

/** An answer larger than this is passed on as it comes, even where it could be kept for a retry; bytes. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Passes runners' answers on to clients: streams by whole events, small safe answers whole, others as they come. */
export class ResponseRelay {
  readonly #handler: AttemptHandler;
  readonly #writer: ResponseWriter;
  readonly #counters: Counters;

  constructor(reports: AttemptHandler, replies: ResponseWriter, counters: Counters) {
    this.#handler = reports;
    this.#writer = replies;
    this.#counters = counters;
  }

  /** Begins to pass on the answer whose head came. */
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
