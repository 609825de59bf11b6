import type { IncomingMessage } from 'node:http';
import type { Counters } from '../common/counters.js';
import type { AttemptReports } from './attempt-reports.js';
import { writePaced } from './byte-relay.js';
import type { Attempt, ClientExchange } from './client-exchange.js';
import type { ClientReplies } from './client-replies.js';
import { EventStream, type StreamEvent } from './event-stream.js';

/** What becomes of an event of a stream. */
type EventVerdict = 'pass' | 'leaveOut' | 'gap';

/** Passes on whole events only, so that a run that breaks can be gone on with after the last of them. */
export class StreamRelay {
  readonly #attempt: Attempt;
  readonly #back: IncomingMessage;
  readonly #reports: AttemptReports;
  readonly #replies: ClientReplies;
  readonly #counters: Counters;
  readonly #stream = new EventStream();
  /** Whether an earlier run's events were passed on before. */
  readonly #isResumption: boolean;

  constructor(
    attempt: Attempt,
    back: IncomingMessage,
    reports: AttemptReports,
    replies: ClientReplies,
    counters: Counters,
  ) {
    this.#attempt = attempt;
    this.#back = back;
    this.#reports = reports;
    this.#replies = replies;
    this.#counters = counters;
    this.#isResumption = attempt.exchange.isHeadPassed;
  }

  /** Begins to read. */
  start(): void {
    this.#back.on('data', (chunk) => this.#take(chunk));
    this.#back.once('end', () => this.#end());
    this.#back.once('close', () => this.#reports.broke(this.#attempt));
  }

  #take(chunk: Buffer): void {
    if (this.#attempt.isOver) return;
    const { exchange } = this.#attempt;
    const passed: Buffer[] = [];
    for (const event of this.#stream.take(chunk)) {
      const verdict = this.#judge(exchange, event);
      if (verdict === 'gap') {
        this.#counters.add('streams.gap');
        this.#reports.breakOff(this.#attempt);
        return;
      }
      if (verdict === 'pass') passed.push(event.bytes);
    }
    this.#reports.moved(this.#attempt);
    const first = passed[0];
    if (!first) return;
    this.#begin();
    writePaced(exchange.answer, this.#back, passed.length === 1 ? first : Buffer.concat(passed));
  }

  /** What was passed on before is not passed on twice, and a gap is never hidden. */
  #judge(exchange: ClientExchange, { id, isComment }: StreamEvent): EventVerdict {
    if (id === undefined) {
      if (!isComment) exchange.isUnnumbered = true;
      return 'pass';
    }
    const { lastEventId } = exchange;
    if (lastEventId !== undefined && id <= lastEventId) return 'leaveOut';
    if (this.#isResumption && lastEventId !== undefined && id > lastEventId + 1) return 'gap';
    exchange.lastEventId = id;
    return 'pass';
  }

  /** The head is passed on with the first event, or at the end where there is none. */
  #begin(): void {
    const { exchange } = this.#attempt;
    if (!exchange.isHeadPassed) this.#replies.passHead(exchange, this.#back, undefined);
  }

  #end(): void {
    if (this.#attempt.isOver) return;
    this.#attempt.finish();
    this.#begin();
    this.#attempt.exchange.answer.end(this.#stream.rest);
    this.#reports.ended(this.#attempt);
  }
}
