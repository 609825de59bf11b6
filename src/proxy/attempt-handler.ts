import type { Counters } from '../common/counters.js';
import type { Moment } from '../common/ids.js';
import type { Attempt } from './client-exchange.js';
import type { Dispatcher } from './dispatcher.js';
import type { ResponseHead } from './dispatch-types.js';

/** Passes the events of attempts to the dispatcher, and applies the effects that result. */
export class AttemptHandler {
  readonly #dispatcher: Dispatcher;
  readonly #counters: Counters;
  readonly #now: () => Moment;
  /** Applies the dispatcher's effects. */
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

  /** The connection is established. Returns whether the request may be written; if not, the attempt is aborted. */
  onConnect(attempt: Attempt): boolean {
    if (this.#dispatcher.onConnect(this.#now(), attempt.exchange.id, attempt.send.attempt))
      return true;
    attempt.abort();
    this.#applyEffects();
    return false;
  }

  /** The idle connection had closed before anything was written: aborts the attempt. */
  onIdleConnectionClosed(attempt: Attempt): void {
    attempt.abort();
    this.#dispatcher.onIdleConnectionClosed(this.#now(), attempt.exchange.id, attempt.send.attempt);
    this.#applyEffects();
  }

  /** The head of a response arrived; if it proves the request unprocessed, the complete response has arrived. */
  onHeaders(attempt: Attempt, head: ResponseHead): void {
    this.#dispatcher.onHeaders(this.#now(), attempt.exchange.id, attempt.send.attempt, head);
    this.#applyEffects();
  }

  /** Bytes of the response arrived. */
  onData(attempt: Attempt): void {
    this.#dispatcher.onData(this.#now(), attempt.exchange.id, attempt.send.attempt);
  }

  /** The response was forwarded completely. */
  onComplete(attempt: Attempt): void {
    this.#dispatcher.onComplete(this.#now(), attempt.exchange.id, attempt.send.attempt);
    this.#applyEffects();
  }

  /** The connection closed before the response was complete. */
  onDisconnect(attempt: Attempt): void {
    if (attempt.isDone) return;
    attempt.isDone = true;
    this.#counters.add('runs.broke');
    const isStale = attempt.runnerRequest.reusedSocket && attempt.runnerResponse === undefined;
    this.#dispatcher.onDisconnect(this.#now(), attempt.exchange.id, attempt.send.attempt, isStale);
    this.#applyEffects();
  }

  /** Aborts a response that cannot be forwarded: handled as if the runner had closed the connection. */
  abort(attempt: Attempt): void {
    attempt.runnerRequest.destroy();
    this.onDisconnect(attempt);
  }
}
