import type { IncomingMessage } from 'node:http';
import type { AttemptReports } from './attempt-reports.js';
import type { Attempt } from './client-exchange.js';
import type { ClientReplies } from './client-replies.js';

/** Passes on a small answer that may be asked for again, once it is whole. */
export class WholeRelay {
  readonly #attempt: Attempt;
  readonly #back: IncomingMessage;
  readonly #reports: AttemptReports;
  readonly #replies: ClientReplies;
  readonly #chunks: Buffer[] = [];

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

  /** Begins to read. */
  start(): void {
    this.#back.on('data', (chunk) => this.#take(chunk));
    this.#back.once('end', () => this.#end());
    this.#back.once('close', () => this.#reports.broke(this.#attempt));
  }

  #take(chunk: Buffer): void {
    this.#chunks.push(chunk);
  }

  #end(): void {
    const attempt = this.#attempt;
    if (attempt.isOver) return;
    attempt.finish();
    this.#reports.moved(attempt);
    const { exchange } = attempt;
    const body = Buffer.concat(this.#chunks);
    const isHead = exchange.asked.method === 'HEAD';
    const length = isHead ? this.#back.headers['content-length'] : body.length;
    this.#replies.passHead(exchange, this.#back, length);
    exchange.answer.end(body);
    this.#reports.ended(attempt);
  }
}
