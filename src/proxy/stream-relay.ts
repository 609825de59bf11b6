import type { IncomingMessage } from 'node:http';
import type { Counters } from '../common/counters.js';
import type { AttemptHandler } from './attempt-handler.js';
import { writeWithBackpressure } from './byte-relay.js';
import type { Attempt, ClientExchange } from './client-exchange.js';
import type { ResponseWriter } from './response-writer.js';
import { EventStream, type StreamEvent } from './event-stream.js';

/** What becomes of an event of a stream. */
type EventVerdict = 'forward' | 'skip' | 'gap';

/** Passes on whole events only, so that a run that breaks can be gone on with after the last of them. */
export class StreamRelay {
  readonly #attempt: Attempt;
  readonly #runnerResponse: IncomingMessage;
  readonly #handler: AttemptHandler;
  readonly #writer: ResponseWriter;
  readonly #counters: Counters;
  readonly #stream = new EventStream();
  /** Whether an earlier run's events were passed on before. */
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

  /** Begins to read. */
  start(): void {
    this.#runnerResponse.on('data', (chunk) => this.#onData(chunk));
    this.#runnerResponse.once('end', () => this.#onEnd());
    this.#runnerResponse.once('close', () => this.#handler.onDisconnect(this.#attempt));
  }

  #onData(chunk: Buffer): void {
    if (this.#attempt.isDone) return;
    const { exchange } = this.#attempt;
    const passed: Buffer[] = [];
    for (const event of this.#stream.push(chunk)) {
      const verdict = this.#classify(exchange, event);
      if (verdict === 'gap') {
        this.#counters.add('streams.gap');
        this.#handler.abort(this.#attempt);
        return;
      }
      if (verdict === 'forward') passed.push(event.bytes);
    }
    this.#handler.onData(this.#attempt);
    const first = passed[0];
    if (!first) return;
    this.#forwardHead();
    writeWithBackpressure(
      exchange.clientResponse,
      this.#runnerResponse,
      passed.length === 1 ? first : Buffer.concat(passed),
    );
  }

  /** What was passed on before is not passed on twice, and a gap is never hidden. */
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

  /** The head is passed on with the first event, or at the end where there is none. */
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
