import type { Moment } from '../../common/ids.js';
import type { ResponseHead, Dispatcher } from '../../proxy/dispatcher.js';
import type { SeededRandom } from '../../rehearsal/seeded-random.js';
import type { TraceDigest } from './trace-digest.js';

type Stage = 'chosen' | 'written' | 'answering';

interface DrawnAttempt {
  readonly id: number;
  readonly attempt: number;
  stage: Stage;
}

/** Response headers to draw from: the usual ones several times, all others once. */
const OK: ResponseHead = {
  status: 200,
  isUnprocessed: false,
  isGenuine: true,
  isEventStream: true,
};
const HEADS: readonly ResponseHead[] = [
  ...[OK, OK, OK, OK, OK, OK, OK, OK],
  { status: 500, isUnprocessed: false, isGenuine: true, isEventStream: false },
  { status: 503, isUnprocessed: true, isGenuine: true, isEventStream: false },
  { status: 421, isUnprocessed: true, isGenuine: true, isEventStream: false },
  { status: 200, isUnprocessed: false, isGenuine: false, isEventStream: false },
  { status: 429, isUnprocessed: false, isGenuine: true, isEventStream: false },
  { status: 404, isUnprocessed: false, isGenuine: true, isEventStream: false },
];

/** Draws the outcomes of a dispatcher's attempts in progress. */
export class DrawnAttempts {
  readonly #random: SeededRandom;
  readonly #dispatcher: Dispatcher;
  readonly #digest: TraceDigest;
  readonly #byId = new Map<number, DrawnAttempt>();

  constructor(random: SeededRandom, dispatcher: Dispatcher, digest: TraceDigest) {
    this.#random = random;
    this.#dispatcher = dispatcher;
    this.#digest = digest;
  }

  /** Adds an attempt that the dispatcher has started. */
  start(id: number, attempt: number): void {
    this.#byId.set(id, { id, attempt, stage: 'chosen' });
  }

  /** The dispatcher accepted the response headers: the body is forwarded from now on. */
  startResponse(id: number): void {
    const attempt = this.#byId.get(id);
    if (attempt) attempt.stage = 'answering';
  }

  /** Removes the attempt of a request. */
  end(id: number): void {
    this.#byId.delete(id);
  }

  /** Reports an event of one attempt; now and then it belongs to an earlier attempt, which is over. */
  advance(now: Moment): void {
    const attempt = this.#random.pick([...this.#byId.values()]);
    if (!attempt) return;
    if (this.#random.isLikely(0.03)) this.#reportStaleAttempt(now, attempt);
    else if (attempt.stage === 'chosen') this.#connect(now, attempt);
    else if (attempt.stage === 'written') this.#receiveHeaders(now, attempt);
    else this.#receiveBody(now, attempt);
  }

  #reportStaleAttempt(now: Moment, { id, attempt }: DrawnAttempt): void {
    const earlier = attempt - 1;
    this.#dispatcher.onHeaders(now, id, earlier, OK);
    this.#dispatcher.onData(now, id, earlier);
    this.#dispatcher.onDisconnect(now, id, earlier, false);
  }

  #connect(now: Moment, attempt: DrawnAttempt): void {
    const { id, attempt: number } = attempt;
    const draw = this.#random.next();
    if (draw < 0.85) {
      const mayWrite = this.#dispatcher.onConnect(now, id, number);
      this.#digest.record(now, 'dispatcher', 'may write', [id, number, mayWrite]);
      if (mayWrite) attempt.stage = 'written';
      else this.end(id);
      return;
    }
    this.end(id);
    if (draw < 0.9) this.#dispatcher.onIdleConnectionClosed(now, id, number);
    else if (draw < 0.96) this.#dispatcher.onConnectFailed(now, id, number);
    else this.#dispatcher.onDisconnect(now, id, number, false);
  }

  #receiveHeaders(now: Moment, { id, attempt }: DrawnAttempt): void {
    const draw = this.#random.next();
    // The runner stays silent; the dispatcher's ticks handle the timeout.
    if (draw < 0.3) return;
    if (draw < 0.36) {
      this.end(id);
      this.#dispatcher.onDisconnect(now, id, attempt, draw < 0.33);
      return;
    }
    const head = this.#random.pick(HEADS) ?? OK;
    if (head.isUnprocessed) this.end(id);
    this.#dispatcher.onHeaders(now, id, attempt, head);
  }

  #receiveBody(now: Moment, { id, attempt }: DrawnAttempt): void {
    const draw = this.#random.next();
    if (draw < 0.6) {
      this.#dispatcher.onData(now, id, attempt);
      return;
    }
    this.end(id);
    if (draw < 0.95) this.#dispatcher.onComplete(now, id, attempt);
    else this.#dispatcher.onDisconnect(now, id, attempt, false);
  }
}
