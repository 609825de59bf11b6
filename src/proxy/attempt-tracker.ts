import { later, type Moment } from '../common/ids.js';
import type { AnswerHead } from './dispatch-types.js';
import type { DispatcherState } from './dispatcher-state.js';
import type { RequestPlacement } from './request-placement.js';
import { isRepeatable, type RoutedRequest } from './routed-request.js';
import type { RunnerAccount } from './runner-account.js';

/** Statuses that tell a client that its request has not run: without a runner's proof no proxy may say so. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** The status of a runner that does not hold what it was asked for. */
const MISDIRECTED = 421;
/** When to come back after a runner's word that it did not run the request: it does not hold it, or it is full. */
const MISSING_RETRY_MS = 150;
const FULL_RETRY_MS = 250;
/** So long after a request's deadline its attempt is ended; its client no longer waits. */
const OVERDUE_MS = 30;
/** The least time that a runner may say nothing before what may be repeated leaves it. */
const LEAST_PATIENCE_MS = 300;
/** A runner that broke a connection is avoided where nothing else came from it for so long. */
const SILENT_MS = 200;

/** Follows requests at runners: what is heard of each attempt decides whether it goes on, elsewhere, or ends. */
export class AttemptTracker {
  readonly #state: DispatcherState;
  readonly #placement: RequestPlacement;
  /** How long the making of a connection may take. */
  readonly #connectMs: number;

  constructor(state: DispatcherState, placement: RequestPlacement, connectMs: number) {
    this.#state = state;
    this.#placement = placement;
    this.#connectMs = connectMs;
  }

  // ---- before the first byte

  /** Right before the first byte; time may have passed since the choice. From a yes on it may have run until disproven. */
  mayWrite(now: Moment, id: number, attempt: number): boolean {
    const request = this.#state.requests.current(id, attempt);
    const runner = request ? this.#runnerOf(request) : undefined;
    if (!request || !runner || request.phase !== 'connecting') return false;
    if (!this.#state.fleet.isOpen(runner) || now >= request.deadline) {
      this.#placeUnwritten(now, request);
      return false;
    }
    request.phase = 'sent';
    request.sends += 1;
    request.sentAt = now;
    return true;
  }

  /** The kept connection that was chosen had ended before anything was written: its runner is not to blame. */
  unwritten(now: Moment, id: number, attempt: number): void {
    const request = this.#state.requests.current(id, attempt);
    if (request?.phase === 'connecting') this.#placeUnwritten(now, request);
  }

  #placeUnwritten(now: Moment, request: RoutedRequest): void {
    this.#leaveRunner(request);
    request.tried.delete(request.runner);
    this.#placement.place(now, request);
  }

  /** The connection could not be made: nothing was sent, and another runner costs nothing. */
  unreached(now: Moment, id: number, attempt: number): void {
    const request = this.#state.requests.current(id, attempt);
    if (request?.phase !== 'connecting') return;
    this.#leaveRunner(request);
    this.#placeUnreached(now, request);
  }

  #placeUnreached(now: Moment, request: RoutedRequest): void {
    this.#runnerOf(request)?.avoid(now);
    this.#placement.place(now, request);
  }

  // ---- the answer

  /** The head of the runner's answer came; one with proof that the request was not run comes here once it is whole. */
  head(now: Moment, id: number, attempt: number, head: AnswerHead): void {
    const request = this.#state.requests.current(id, attempt);
    if (request?.phase !== 'sent') return;
    const runner = this.#runnerOf(request);
    runner?.heard(now);
    if (head.isNotRun) {
      this.#notRun(now, request, runner, head.status);
      return;
    }
    if (!isPassable(request, head)) {
      this.cancel(request);
      this.#failed(now, request, runner);
      return;
    }
    const isFailure = head.status >= 500;
    if (isFailure && this.#retryFailure(now, request)) return;
    request.phase = 'answering';
    if (!isFailure) runner?.succeeded();
    this.#state.effects.push({ do: 'pass', id, attempt });
  }

  /** A failure of the runner's own: another may do better, where it may run again. False where it is passed on. */
  #retryFailure(now: Moment, request: RoutedRequest): boolean {
    if (!isRepeatable(request) || !this.#state.retry.mayRetry(now, request)) return false;
    request.mayHaveRun = true;
    this.cancel(request);
    this.#retry(now, request);
    return true;
  }

  /** The runner's word that it has not run it and will not. */
  #notRun(
    now: Moment,
    request: RoutedRequest,
    runner: RunnerAccount | undefined,
    status: number,
  ): void {
    const isMissing = status === MISDIRECTED;
    this.#leaveRunner(request);
    if (runner) noteRefusal(now, request, runner, isMissing);
    if (this.#state.retry.mayRetryNotRun(now, request)) this.#retry(now, request);
    else this.#state.answers.refuse(request, 'full', isMissing ? MISSING_RETRY_MS : FULL_RETRY_MS);
  }

  /** Bytes of the answer came from the runner. */
  moved(now: Moment, id: number, attempt: number): void {
    const request = this.#state.requests.current(id, attempt);
    if (!request) return;
    const runner = this.#runnerOf(request);
    runner?.heard(now);
    if (request.isBegun || request.phase !== 'answering') return;
    request.isBegun = true;
    runner?.begun(request);
    this.#state.times.note(request.route, now - request.sentAt);
  }

  /** The answer was passed on to its end. */
  ended(now: Moment, id: number, attempt: number): void {
    const { requests } = this.#state;
    const request = requests.current(id, attempt);
    if (!request) return;
    this.#leaveRunner(request);
    requests.end(request);
    if (requests.size > 0) this.#placement.retryOne(now);
  }

  // ---- what goes wrong

  /** The connection broke after the request was written. `isStale`: a kept connection closed as it was used. */
  broke(now: Moment, id: number, attempt: number, isStale: boolean): void {
    const request = this.#state.requests.current(id, attempt);
    if (!request) return;
    if (request.phase === 'connecting') {
      this.unreached(now, id, attempt);
      return;
    }
    const runner = this.#runnerOf(request);
    this.#leaveRunner(request);
    if (isStale) this.#freshen(now, request);
    this.#failed(now, request, isStale ? undefined : runner);
  }

  /** A kept connection that ended says little of its runner: where there is no other, a new connection to it may do. */
  #freshen(now: Moment, request: RoutedRequest): void {
    if (this.#state.choice.hasUsable(now, request)) return;
    request.tried.delete(request.runner);
    request.needsFresh = true;
  }

  /** An attempt that may have run is over. `runner`: the one to blame, if any. */
  #failed(now: Moment, request: RoutedRequest, runner: RunnerAccount | undefined): void {
    const { answers, counts, retry } = this.#state;
    request.mayHaveRun = true;
    if (runner && runner.silentMs(now) > SILENT_MS) runner.avoid(now);
    if (!isRepeatable(request) || !retry.mayRetry(now, request)) {
      answers.fail(request);
      return;
    }
    if (request.isBegun) counts.resumed += 1;
    this.#retry(now, request);
  }

  #retry(now: Moment, request: RoutedRequest): void {
    this.#state.counts.retries += 1;
    this.#placement.place(now, request);
  }

  // ---- time

  /** Looks after a request that is at a runner, at each tick. */
  check(now: Moment, request: RoutedRequest, hasStoodStill: boolean): void {
    if (now >= later(request.deadline, OVERDUE_MS)) this.abandon(request);
    else if (hasStoodStill) return;
    else if (request.phase === 'connecting') this.#checkConnecting(now, request);
    else if (request.phase === 'sent') this.#checkSilence(now, request);
  }

  #checkConnecting(now: Moment, request: RoutedRequest): void {
    if (now < later(request.sentAt, this.#connectMs)) return;
    this.cancel(request);
    this.#placeUnreached(now, request);
  }

  /** A runner that says nothing to anybody is left by whatever may be repeated. */
  #checkSilence(now: Moment, request: RoutedRequest): void {
    const runner = this.#runnerOf(request);
    if (!runner || !isRepeatable(request)) return;
    const { targetMs } = request.route;
    const usualMs = this.#state.times.usualMs(request.route) ?? targetMs;
    const patienceMs = Math.max(LEAST_PATIENCE_MS, Math.min(usualMs * 4, targetMs));
    if (now - request.sentAt < patienceMs || runner.silentMs(now) < patienceMs) return;
    runner.avoid(now);
    if (!this.#state.retry.mayLeaveSilent(now, request)) return;
    request.mayHaveRun = true;
    this.cancel(request);
    this.#retry(now, request);
  }

  // ---- leaving a runner

  /** Ends a request that is at a runner, as one that may have run if it was written. */
  abandon(request: RoutedRequest): void {
    request.mayHaveRun ||= request.phase !== 'connecting';
    this.cancel(request);
    this.#state.answers.expire(request);
  }

  /** Ends the attempt that is under way. */
  cancel(request: RoutedRequest): void {
    this.#state.effects.push({ do: 'cancel', id: request.head.id, attempt: request.attempt });
    this.#leaveRunner(request);
  }

  #leaveRunner(request: RoutedRequest): void {
    if (this.#runnerOf(request)?.remove(request)) this.#state.demand.stop(request);
    request.phase = 'waiting';
  }

  #runnerOf(request: RoutedRequest): RunnerAccount | undefined {
    return this.#state.fleet.runner(request.runner);
  }
}

/** Whether the answer may reach the request's client at all. */
function isPassable(request: RoutedRequest, { status, isGenuine }: AnswerHead): boolean {
  if (!isGenuine) return false;
  // A status that promises what the runner did not prove must not reach the client of what may run once.
  if (REFUSAL_STATUSES.has(status) && !isRepeatable(request)) return false;
  // A stream of which something was passed on can only go on: a failure is none to its client any more.
  return !request.isBegun || (status >= 200 && status < 300);
}

/** What the runner's refusal says of it. */
function noteRefusal(
  now: Moment,
  request: RoutedRequest,
  runner: RunnerAccount,
  isMissing: boolean,
): void {
  if (!isMissing) {
    runner.noteFull(now);
    return;
  }
  runner.noteMissing(now, request);
  // What a plain runner does not hold is its whole service.
  if (request.unit === '') runner.avoid(now);
}
