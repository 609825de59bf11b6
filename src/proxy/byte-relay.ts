import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AttemptReports } from './attempt-reports.js';
import type { Attempt } from './client-exchange.js';
import type { ClientReplies } from './client-replies.js';

/** Passes on an answer as it comes. */
export class ByteRelay {
  readonly #attempt: Attempt;
  readonly #back: IncomingMessage;
  readonly #reports: AttemptReports;
  readonly #replies: ClientReplies;

  constructor(
    attempt: Attempt,
    back: IncomingMessage,
    reports: AttemptReports,
    replies: ClientReplies,
  ) {
    this.#attempt = attempt;
    this.#back = back;
    this.#reports = reports;
    this.#replies = replies;
  }

  /** Passes on the head, and begins to read. */
  start(): void {
    const { exchange } = this.#attempt;
    this.#replies.passHead(exchange, this.#back, this.#back.headers['content-length']);
    // From its head on the client has begun to get this run's answer, and no other run's can follow.
    this.#reports.moved(this.#attempt);
    this.#back.on('data', (chunk) => this.#take(chunk));
    this.#back.once('end', () => this.#end());
    this.#back.once('close', () => this.#reports.broke(this.#attempt));
  }

  #take(chunk: Buffer): void {
    if (this.#attempt.isOver) return;
    this.#reports.moved(this.#attempt);
    writePaced(this.#attempt.exchange.answer, this.#back, chunk);
  }

  #end(): void {
    if (this.#attempt.isOver) return;
    this.#attempt.finish();
    this.#attempt.exchange.answer.end();
    this.#reports.ended(this.#attempt);
  }
}

/** Writes to the client, and holds the runner back until the client has taken it. */
export function writePaced(answer: ServerResponse, back: IncomingMessage, bytes: Buffer): void {
  if (answer.write(bytes)) return;
  back.pause();
  answer.once('drain', () => back.resume());
}
