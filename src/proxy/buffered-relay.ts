import type { IncomingMessage } from 'node:http';
import { BodyBuffer } from '../common/body-buffer.js';
import { announcedBodyBytes } from '../common/request-body.js';
import type { AttemptHandler } from './attempt-handler.js';
import { writeWithBackpressure } from './byte-relay.js';
import type { Attempt } from './client-exchange.js';
import type { ResponseWriter } from './response-writer.js';

/** A response larger than this is forwarded as it arrives, even where it could be buffered for a retry; bytes. */
export const MAX_BUFFERED_BYTES = 1024 * 1024;

/**
 * Forwards a small response once it is complete, so that the request can be retried until then. One that turns out to be
 * large, or for which there is no memory, is forwarded as it arrives from then on. It is gathered in one buffer: its cost
 * depends on its length, and not on the chunks in which it comes.
 */
export class BufferedRelay {
  readonly #attempt: Attempt;
  readonly #runnerResponse: IncomingMessage;
  readonly #handler: AttemptHandler;
  readonly #writer: ResponseWriter;
  readonly #buffer: BodyBuffer;
  #isForwarding = false;

  constructor(
    attempt: Attempt,
    runnerResponse: IncomingMessage,
    handler: AttemptHandler,
    writer: ResponseWriter,
  ) {
    this.#attempt = attempt;
    this.#runnerResponse = runnerResponse;
    this.#handler = handler;
    this.#writer = writer;
    this.#buffer = new BodyBuffer(attempt.exchange.memory, {
      maxBytes: MAX_BUFFERED_BYTES,
      announcedBytes: announcedBodyBytes(runnerResponse),
    });
  }

  /** Starts reading the body. */
  start(): void {
    this.#runnerResponse.on('data', (chunk) => this.#onData(chunk));
    this.#runnerResponse.once('end', () => this.#onEnd());
    // 'close' also follows a complete response: `onDisconnect` then has no effect, since the attempt is done.
    this.#runnerResponse.once('close', () => this.#handler.onDisconnect(this.#attempt));
  }

  #onData(chunk: Buffer): void {
    if (this.#attempt.isDone) return;
    if (this.#isForwarding) {
      this.#forward(chunk);
      return;
    }
    if (this.#buffer.append(chunk) === 'appended') return;
    this.#startForwarding();
    this.#forward(chunk);
  }

  /** Forwards what was buffered; the request can't be retried afterwards. */
  #startForwarding(): void {
    this.#isForwarding = true;
    const { exchange } = this.#attempt;
    this.#writer.writeHead(
      exchange,
      this.#runnerResponse,
      this.#runnerResponse.headers['content-length'],
    );
    if (this.#buffer.length > 0) this.#forward(this.#buffer.bytes);
  }

  #forward(bytes: Buffer): void {
    this.#handler.onData(this.#attempt);
    writeWithBackpressure(this.#attempt.exchange.clientResponse, this.#runnerResponse, bytes);
  }

  #onEnd(): void {
    const attempt = this.#attempt;
    if (attempt.isDone) return;
    attempt.complete();
    const { exchange } = attempt;
    if (this.#isForwarding) {
      exchange.clientResponse.end();
    } else {
      // Reported only now: the first data marks the response as started, after which a buffered request is not retried.
      this.#handler.onData(attempt);
      const body = this.#buffer.bytes;
      const isHead = exchange.clientRequest.method === 'HEAD';
      const length = isHead ? this.#runnerResponse.headers['content-length'] : body.length;
      this.#writer.writeHead(exchange, this.#runnerResponse, length);
      exchange.clientResponse.end(body);
    }
    this.#handler.onComplete(attempt);
  }
}
