import type { IncomingMessage } from 'node:http';
import type { Counters } from '../common/counters.js';
import type { AttemptHandler } from './attempt-handler.js';
import { writeWithBackpressure } from './byte-relay.js';
import type { Attempt, ClientExchange } from './client-exchange.js';
import type { ResponseWriter } from './response-writer.js';
import { EventStream, type StreamEvent } from './event-stream.js';

/** What is done with an event of a stream. */
type EventVerdict = 'forward' | 'skip' | 'gap';

/** Forwards complete events only, so that another run can continue a stream that breaks off after the last of them. */
export class StreamRelay {
  readonly #attempt: Attempt;
  readonly #runnerResponse: IncomingMessage;
  readonly #handler: AttemptHandler;
  readonly #writer: ResponseWriter;
  readonly #counters: Counters;
  readonly #stream = new EventStream();
  /** Whether events of an earlier run have already been forwarded. */
  readonly #isResumption: boolean;

  constructor(
    attempt: Attempt,
    runnerResponse: IncomingMessage,
    handler: AttemptHandler,
    writer: ResponseWriter,
    counters: Counters,
  ) {
    this.#attempt = attempt;
    this.#runnerResponse = runnerResponse;
    this.#handler = handler;
    this.#writer = writer;
    this.#counters = counters;
    this.#isResumption = attempt.exchange.isHeadForwarded;
  }

  /** Starts reading the body. */
  start(): void {
    this.#runnerResponse.on('data', (chunk) => this.#onData(chunk));
    this.#runnerResponse.once('end', () => this.#onEnd());
    this.#runnerResponse.once('close', () => this.#handler.onDisconnect(this.#attempt));
  }

  #onData(chunk: Buffer): void {
    if (this.#attempt.isDone) return;
    const { exchange } = this.#attempt;
    const forwarded: Buffer[] = [];
    for (const event of this.#stream.push(chunk)) {
      const verdict = this.#classify(exchange, event);
      if (verdict === 'gap') {
        this.#counters.add('streams.gap');
        this.#handler.abort(this.#attempt);
        return;
      }
      if (verdict === 'forward') forwarded.push(event.bytes);
    }
    this.#handler.onData(this.#attempt);
    const first = forwarded[0];
    if (!first) return;
    this.#forwardHead();
    writeWithBackpressure(
      exchange.clientResponse,
      this.#runnerResponse,
      forwarded.length === 1 ? first : Buffer.concat(forwarded),
    );
  }

  /** Skips events that have already been forwarded, and detects gaps, which must not be hidden from the client. */
  #classify(exchange: ClientExchange, { id, isComment }: StreamEvent): EventVerdict {
    if (id === undefined) {
      if (!isComment) exchange.hasEventWithoutId = true;
      return 'forward';
    }
    const { lastEventId } = exchange;
    if (lastEventId !== undefined && id <= lastEventId) return 'skip';
    if (this.#isResumption && lastEventId !== undefined && id > lastEventId + 1) return 'gap';
    exchange.lastEventId = id;
    return 'forward';
  }

  /** The head is forwarded with the first event, or at the end where there is none. */
  #forwardHead(): void {
    const { exchange } = this.#attempt;
    if (!exchange.isHeadForwarded)
      this.#writer.writeHead(exchange, this.#runnerResponse, undefined);
  }

  #onEnd(): void {
    if (this.#attempt.isDone) return;
    this.#attempt.complete();
    this.#forwardHead();
    this.#attempt.exchange.clientResponse.end(this.#stream.remainder);
    this.#handler.onComplete(this.#attempt);
  }
}
