import type { IncomingMessage } from 'node:http';
import type { AttemptHandler } from './attempt-handler.js';
import type { Attempt } from './client-exchange.js';
import type { ResponseWriter } from './response-writer.js';

/** Forwards a small response once it is complete, so that the request can be retried until then. */
export class BufferedRelay {
  readonly #attempt: Attempt;
  readonly #runnerResponse: IncomingMessage;
  readonly #handler: AttemptHandler;
  readonly #writer: ResponseWriter;
  readonly #chunks: Buffer[] = [];

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
  }

  /** Starts reading the body. */
  start(): void {
    this.#runnerResponse.on('data', (chunk) => this.#onData(chunk));
    this.#runnerResponse.once('end', () => this.#onEnd());
    // 'close' also follows a complete response: `onDisconnect` then has no effect, since the attempt is done.
    this.#runnerResponse.once('close', () => this.#handler.onDisconnect(this.#attempt));
  }

  #onData(chunk: Buffer): void {
    this.#chunks.push(chunk);
  }

  #onEnd(): void {
    const attempt = this.#attempt;
    if (attempt.isDone) return;
    attempt.complete();
    // Reported only now: the first data marks the response as started, after which a buffered request is not retried.
    this.#handler.onData(attempt);
    const { exchange } = attempt;
    const body = Buffer.concat(this.#chunks);
    const isHead = exchange.clientRequest.method === 'HEAD';
    const length = isHead ? this.#runnerResponse.headers['content-length'] : body.length;
    this.#writer.writeHead(exchange, this.#runnerResponse, length);
    exchange.clientResponse.end(body);
    this.#handler.onComplete(attempt);
  }
}
