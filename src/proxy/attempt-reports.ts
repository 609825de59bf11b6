import type { Counters } from '../common/counters.js';
import type { Moment } from '../common/ids.js';
import type { Attempt } from './client-exchange.js';
import type { Dispatcher } from './dispatcher.js';
import type { AnswerHead } from './dispatch-types.js';

/** Tells the dispatcher what happens to attempts, and has what it decides then carried out. */
export class AttemptReports {
  readonly #dispatcher: Dispatcher;
  readonly #counters: Counters;
  readonly #now: () => Moment;
  /** Carries out what the dispatcher decided. */
  readonly #obey: () => void;

  constructor(dispatcher: Dispatcher, counters: Counters, now: () => Moment, obey: () => void) {
    this.#dispatcher = dispatcher;
    this.#counters = counters;
    this.#now = now;
    this.#obey = obey;
  }

  /** The connection stands. Whether the request may be written to it now; where not, the attempt is given up. */
  mayWrite(attempt: Attempt): boolean {
    if (this.#dispatcher.mayWrite(this.#now(), attempt.exchange.id, attempt.send.attempt))
      return true;
    attempt.abandon();
    this.#obey();
    return false;
  }

  /** The kept connection had ended before anything was written: the attempt is given up. */
  unwritten(attempt: Attempt): void {
    attempt.abandon();
    this.#dispatcher.unwritten(this.#now(), attempt.exchange.id, attempt.send.attempt);
    this.#obey();
  }

  /** The head of the answer came; of one with proof that the request was not run, the whole answer. */
  head(attempt: Attempt, head: AnswerHead): void {
    this.#dispatcher.head(this.#now(), attempt.exchange.id, attempt.send.attempt, head);
    this.#obey();
  }

  /** Bytes of the answer came. */
  moved(attempt: Attempt): void {
    this.#dispatcher.moved(this.#now(), attempt.exchange.id, attempt.send.attempt);
  }

  /** The answer was passed on to its end. */
  ended(attempt: Attempt): void {
    this.#dispatcher.ended(this.#now(), attempt.exchange.id, attempt.send.attempt);
    this.#obey();
  }

  /** The connection broke before the answer was whole. */
  broke(attempt: Attempt): void {
    if (attempt.isOver) return;
    attempt.isOver = true;
    this.#counters.add('runs.broke');
    const isStale = attempt.sent.reusedSocket && attempt.back === undefined;
    this.#dispatcher.broke(this.#now(), attempt.exchange.id, attempt.send.attempt, isStale);
    this.#obey();
  }

  /** The answer is none that could be passed on: its connection ends, as if it had broken. */
  breakOff(attempt: Attempt): void {
    attempt.sent.destroy();
    this.broke(attempt);
  }
}
