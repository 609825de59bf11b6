import type { IncomingMessage } from 'node:http';
import type { Counters } from '../common/counters.js';
import type { AttemptHandler } from './attempt-handler.js';
import { writeWithBackpressure } from './byte-relay.js';
import type { Attempt, ClientExchange } from './client-exchange.js';
import type { ResponseWriter } from './response-writer.js';
import type { EventFields } from './event-lines.js';
import { EventStream, type LargeEventStart, type StreamPiece } from './event-stream.js';

/** What is done with an event of a stream. */
type EventVerdict = 'forward' | 'skip' | 'gap';

/**
 * Forwards complete events, so that another run can continue a stream that breaks off after the last of them. An event that
 * is too large to be held, or for which there is no memory, is forwarded as it arrives; while it is incomplete no other run
 * can continue the stream, and a break is visible to the client.
 */
export class StreamRelay {
  readonly #attempt: Attempt;
  readonly #runnerResponse: IncomingMessage;
  readonly #handler: AttemptHandler;
  readonly #writer: ResponseWriter;
  readonly #counters: Counters;
  readonly #stream: EventStream;
  /** Whether events of an earlier run have already been forwarded. */
  readonly #isResumption: boolean;
  /** Whether the large event that is arriving was forwarded by an earlier run. */
  #isSkippingParts = false;

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
    this.#stream = new EventStream(attempt.exchange.memory);
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
    for (const piece of this.#stream.push(chunk)) {
      const verdict = this.#classifyPiece(exchange, piece);
      if (verdict === 'gap') {
        this.#counters.add('streams.gap');
        this.#handler.abort(this.#attempt);
        return;
      }
      if (verdict === 'forward') forwarded.push(piece.bytes);
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

  #classifyPiece(exchange: ClientExchange, piece: StreamPiece): EventVerdict {
    switch (piece.kind) {
      case 'event':
        return this.#classify(exchange, piece);
      case 'large-event':
        return this.#startLargeEvent(exchange, piece);
      case 'part': {
        const verdict = this.#isSkippingParts ? 'skip' : 'forward';
        if (piece.isLast) this.#endLargeEvent(exchange);
        return verdict;
      }
    }
  }

  #startLargeEvent(exchange: ClientExchange, start: LargeEventStart): EventVerdict {
    this.#counters.add(`streams.large-event.${start.reason}`);
    // Its id may follow in a part that is not searched: it could be an event that an earlier run has sent.
    if (start.id === undefined && this.#isResumption) return 'gap';
    const verdict = this.#classify(exchange, { ...start, isComment: false });
    this.#isSkippingParts = verdict === 'skip';
    exchange.isEventIncomplete = verdict === 'forward';
    return verdict;
  }

  #endLargeEvent(exchange: ClientExchange): void {
    this.#isSkippingParts = false;
    exchange.isEventIncomplete = false;
  }

  /** Skips events that have already been forwarded, and detects gaps, which must not be hidden from the client. */
  #classify(exchange: ClientExchange, { id, isComment }: EventFields): EventVerdict {
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
    const { exchange } = this.#attempt;
    if (this.#attempt.isDone) return;
    const last = this.#stream.end();
    const verdict = last ? this.#classify(exchange, last) : 'forward';
    if (verdict === 'gap') {
      this.#counters.add('streams.gap');
      this.#handler.abort(this.#attempt);
      return;
    }
    this.#attempt.complete();
    this.#forwardHead();
    const rest = last?.bytes ?? this.#stream.remainder;
    exchange.clientResponse.end(verdict === 'forward' ? rest : undefined);
    this.#handler.onComplete(this.#attempt);
  }
}
