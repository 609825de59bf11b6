import type { IncomingMessage } from 'node:http';
import type { Counters } from '../common/counters.js';
import type { AttemptReports } from './attempt-reports.js';
import { ByteRelay } from './byte-relay.js';
import type { Attempt } from './client-exchange.js';
import type { ClientReplies } from './client-replies.js';
import { isBounded } from './http-messages.js';
import { StreamRelay } from './stream-relay.js';
import { WholeRelay } from './whole-relay.js';

/** An answer larger than this is passed on as it comes, even where it could be kept for a retry; bytes. */
const MOST_BUFFERED = 1024 * 1024;

/** Passes runners' answers on to clients: streams by whole events, small safe answers whole, others as they come. */
export class AnswerRelay {
  readonly #reports: AttemptReports;
  readonly #replies: ClientReplies;
  readonly #counters: Counters;

  constructor(reports: AttemptReports, replies: ClientReplies, counters: Counters) {
    this.#reports = reports;
    this.#replies = replies;
    this.#counters = counters;
  }

  /** Begins to pass on the answer whose head came. */
  pass(attempt: Attempt): void {
    const { back, exchange, send } = attempt;
    if (!back) return;
    const isStream = (back.headers['content-type'] ?? '').startsWith('text/event-stream');
    // What was begun as a stream can only go on as one: any other answer of a further runner is none to this client.
    if (!isBounded(exchange.asked.method ?? 'GET', back) || (exchange.isHeadPassed && !isStream))
      this.#reports.breakOff(attempt);
    else if (isStream)
      new StreamRelay(attempt, back, this.#reports, this.#replies, this.#counters).start();
    else if (send.isBuffered && isSmall(back))
      new WholeRelay(attempt, back, this.#reports, this.#replies).start();
    else new ByteRelay(attempt, back, this.#reports, this.#replies).start();
  }
}

function isSmall(back: IncomingMessage): boolean {
  return Number(back.headers['content-length'] ?? 0) <= MOST_BUFFERED;
}
