import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AttemptHandler } from './attempt-handler.js';
import type { Attempt } from './client-exchange.js';
import type { ResponseWriter } from './response-writer.js';

/** Forwards a response as its bytes arrive. */
export class ByteRelay {
  readonly #attempt: Attempt;
  readonly #runnerResponse: IncomingMessage;
  readonly #handler: AttemptHandler;
  readonly #writer: ResponseWriter;

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

  /** Forwards the head, and starts reading the body. */
  start(): void {
    const { exchange } = this.#attempt;
    this.#writer.writeHead(
      exchange,
      this.#runnerResponse,
      this.#runnerResponse.headers['content-length'],
    );
    // Once its head is forwarded, the client receives this run's response, and it can't be continued by another run's.
    this.#handler.onData(this.#attempt);
    this.#runnerResponse.on('data', (chunk) => this.#onData(chunk));
    this.#runnerResponse.once('end', () => this.#onEnd());
    this.#runnerResponse.once('close', () => this.#handler.onDisconnect(this.#attempt));
  }

  #onData(chunk: Buffer): void {
    if (this.#attempt.isDone) return;
    this.#handler.onData(this.#attempt);
    writeWithBackpressure(this.#attempt.exchange.clientResponse, this.#runnerResponse, chunk);
  }

  #onEnd(): void {
    if (this.#attempt.isDone) return;
    this.#attempt.complete();
    this.#attempt.exchange.clientResponse.end();
    this.#handler.onComplete(this.#attempt);
  }
}

/** Writes to the client, and pauses the runner's response until the client has drained its buffer. */
export function writeWithBackpressure(
  clientResponse: ServerResponse,
  runnerResponse: IncomingMessage,
  bytes: Buffer,
): void {
  if (clientResponse.write(bytes)) return;
  runnerResponse.pause();
  clientResponse.once('drain', () => runnerResponse.resume());
}
