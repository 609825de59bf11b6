import type { Counters } from '../common/counters.js';
import type { Moment } from '../common/ids.js';
import type { Attempt } from './client-exchange.js';
import type { Dispatcher } from './dispatcher.js';
import type { ResponseHead } from './dispatch-types.js';

/** Tells the dispatcher what happens to attempts, and has what it decides then carried out. */
export class AttemptHandler {
  readonly #dispatcher: Dispatcher;
  readonly #counters: Counters;
  readonly #now: () => Moment;
  /** Carries out what the dispatcher decided. */
  readonly #applyEffects: () => void;

  constructor(
    dispatcher: Dispatcher,
    counters: Counters,
    now: () => Moment,
    applyEffects: () => void,
  ) {
    this.#dispatcher = dispatcher;
    this.#counters = counters;
    this.#now = now;
    this.#applyEffects = applyEffects;
  }

  /** The connection stands. Whether the request may be written to it now; where not, the attempt is given up. */
  onConnect(attempt: Attempt): boolean {
    if (this.#dispatcher.onConnect(this.#now(), attempt.exchange.id, attempt.send.attempt))
      return true;
    attempt.abort();
    this.#applyEffects();
    return false;
  }

  /** The kept connection had ended before anything was written: the attempt is given up. */
  onIdleConnectionClosed(attempt: Attempt): void {
    attempt.abort();
    this.#dispatcher.onIdleConnectionClosed(this.#now(), attempt.exchange.id, attempt.send.attempt);
    this.#applyEffects();
  }

  /** The head of the answer came; of one with proof that the request was not run, the whole answer. */
  onHeaders(attempt: Attempt, head: ResponseHead): void {
    this.#dispatcher.head(this.#now(), attempt.exchange.id, attempt.send.attempt, head);
    this.#applyEffects();
  }

  /** Bytes of the answer came. */
  onData(attempt: Attempt): void {
    this.#dispatcher.onData(this.#now(), attempt.exchange.id, attempt.send.attempt);
  }

  /** The answer was passed on to its end. */
  onComplete(attempt: Attempt): void {
    this.#dispatcher.onComplete(this.#now(), attempt.exchange.id, attempt.send.attempt);
    this.#applyEffects();
  }

  /** The connection broke before the answer was whole. */
  onDisconnect(attempt: Attempt): void {
    if (attempt.isDone) return;
    attempt.isDone = true;
    this.#counters.add('runs.broke');
    const isStale = attempt.runnerRequest.reusedSocket && attempt.runnerResponse === undefined;
    this.#dispatcher.onDisconnect(this.#now(), attempt.exchange.id, attempt.send.attempt, isStale);
    this.#applyEffects();
  }

  /** The answer is none that could be passed on: its connection ends, as if it had broken. */
  abort(attempt: Attempt): void {
    attempt.runnerRequest.destroy();
    this.onDisconnect(attempt);
  }
}
