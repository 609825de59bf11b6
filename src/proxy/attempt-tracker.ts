import { later, type Moment } from '../common/ids.js';
import type { ResponseHead } from './dispatch-types.js';
import type { DispatcherState } from './dispatcher-state.js';
import type { RequestPlacement } from './request-placement.js';
import { isRetryable, type RoutedRequest } from './routed-request.js';
import type { TrackedRunner } from './tracked-runner.js';

/** Statuses that tell a client that its request has not run: without a runner's proof no proxy may say so. */
const REJECTION_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** The status of a runner that does not hold what it was asked for. */
const MISDIRECTED = 421;
/** When to come back after a runner's word that it did not run the request: it does not hold it, or it is full. */
const MISSING_RETRY_AFTER_MS = 150;
const FULL_RETRY_AFTER_MS = 250;
/** So long after a request's deadline its attempt is ended; its client no longer waits. */
const DEADLINE_GRACE_MS = 30;
/** The least time that a runner may say nothing before what may be repeated leaves it. */
const MIN_RESPONSE_TIMEOUT_MS = 300;
/** A runner that broke a connection is avoided where nothing else came from it for so long. */
const IDLE_RUNNER_MS = 200;

/** Follows requests at runners: what is heard of each attempt decides whether it goes on, elsewhere, or ends. */
export class AttemptTracker {
  readonly #state: DispatcherState;
  readonly #placement: RequestPlacement;
  /** How long the making of a connection may take. */
  readonly #connectTimeoutMs: number;

  constructor(state: DispatcherState, placement: RequestPlacement, connectTimeoutMs: number) {
    this.#state = state;
    this.#placement = placement;
    this.#connectTimeoutMs = connectTimeoutMs;
  }

  // ---- before the first byte

  /** Right before the first byte; time may have passed since the choice. From a yes on it may have run until disproven. */
  onConnect(now: Moment, id: number, attempt: number): boolean {
    const request = this.#state.requests.withCurrentAttempt(id, attempt);
    const runner = request ? this.#runnerOf(request) : undefined;
    if (!request || !runner || request.phase !== 'connecting') return false;
    if (!this.#state.fleet.acceptsRequests(runner) || now >= request.deadline) {
      this.#placeUnsent(now, request);
      return false;
    }
    request.phase = 'sent';
    request.attemptsSent += 1;
    request.sentAt = now;
    return true;
  }

  /** The kept connection that was chosen had ended before anything was written: its runner is not to blame. */
  onIdleConnectionClosed(now: Moment, id: number, attempt: number): void {
    const request = this.#state.requests.withCurrentAttempt(id, attempt);
    if (request?.phase === 'connecting') this.#placeUnsent(now, request);
  }

  #placeUnsent(now: Moment, request: RoutedRequest): void {
    this.#releaseRunner(request);
    request.triedRunners.delete(request.runner);
    this.#placement.place(now, request);
  }

  /** The connection could not be made: nothing was sent, and another runner costs nothing. */
  onConnectFailed(now: Moment, id: number, attempt: number): void {
    const request = this.#state.requests.withCurrentAttempt(id, attempt);
    if (request?.phase !== 'connecting') return;
    this.#releaseRunner(request);
    this.#placeAfterFailedConnect(now, request);
  }

  #placeAfterFailedConnect(now: Moment, request: RoutedRequest): void {
    this.#runnerOf(request)?.eject(now);
    this.#placement.place(now, request);
  }

  // ---- the answer

  /** The head of the runner's answer came; one with proof that the request was not run comes here once it is whole. */
  onHeaders(now: Moment, id: number, attempt: number, head: ResponseHead): void {
    const request = this.#state.requests.withCurrentAttempt(id, attempt);
    if (request?.phase !== 'sent') return;
    const runner = this.#runnerOf(request);
    runner?.onActivity(now);
    if (head.isUnprocessed) {
      this.#onUnprocessed(now, request, runner, head.status);
      return;
    }
    if (!isForwardable(request, head)) {
      this.cancel(request);
      this.#onAttemptFailed(now, request, runner);
      return;
    }
    const isFailure = head.status >= 500;
    if (isFailure && this.#retryFailure(now, request)) return;
    request.phase = 'responding';
    if (!isFailure) runner?.onSuccess();
    this.#state.effects.push({ do: 'forward', id, attempt });
  }

  /** A failure of the runner's own: another may do better, where it may run again. False where it is passed on. */
  #retryFailure(now: Moment, request: RoutedRequest): boolean {
    if (!isRetryable(request) || !this.#state.retryPolicy.mayRetry(now, request)) return false;
    request.mayHaveRun = true;
    this.cancel(request);
    this.#retry(now, request);
    return true;
  }

  /** The runner's word that it has not run it and will not. */
  #onUnprocessed(
    now: Moment,
    request: RoutedRequest,
    runner: TrackedRunner | undefined,
    status: number,
  ): void {
    const isMissing = status === MISDIRECTED;
    this.#releaseRunner(request);
    if (runner) recordRejection(now, request, runner, isMissing);
    if (this.#state.retryPolicy.mayRetryUnprocessed(now, request)) this.#retry(now, request);
    else
      this.#state.outcomes.reject(
        request,
        'full',
        isMissing ? MISSING_RETRY_AFTER_MS : FULL_RETRY_AFTER_MS,
      );
  }

  /** Bytes of the answer came from the runner. */
  onData(now: Moment, id: number, attempt: number): void {
    const request = this.#state.requests.withCurrentAttempt(id, attempt);
    if (!request) return;
    const runner = this.#runnerOf(request);
    runner?.onActivity(now);
    if (request.isResponseStarted || request.phase !== 'responding') return;
    request.isResponseStarted = true;
    runner?.onFirstEvent(request);
    this.#state.firstEventTimes.record(request.route, now - request.sentAt);
  }

  /** The answer was passed on to its end. */
  onComplete(now: Moment, id: number, attempt: number): void {
    const { requests } = this.#state;
    const request = requests.withCurrentAttempt(id, attempt);
    if (!request) return;
    this.#releaseRunner(request);
    requests.remove(request);
    if (requests.size > 0) this.#placement.placeNext(now);
  }

  // ---- what goes wrong

  /** The connection broke after the request was written. `isStale`: a kept connection closed as it was used. */
  onDisconnect(now: Moment, id: number, attempt: number, isStale: boolean): void {
    const request = this.#state.requests.withCurrentAttempt(id, attempt);
    if (!request) return;
    if (request.phase === 'connecting') {
      this.onConnectFailed(now, id, attempt);
      return;
    }
    const runner = this.#runnerOf(request);
    this.#releaseRunner(request);
    if (isStale) this.#allowNewConnection(now, request);
    this.#onAttemptFailed(now, request, isStale ? undefined : runner);
  }

  /** A kept connection that ended says little of its runner: where there is no other, a new connection to it may do. */
  #allowNewConnection(now: Moment, request: RoutedRequest): void {
    if (this.#state.picker.hasAvailable(now, request)) return;
    request.triedRunners.delete(request.runner);
    request.needsNewConnection = true;
  }

  /** An attempt that may have run is over. `runner`: the one to blame, if any. */
  #onAttemptFailed(now: Moment, request: RoutedRequest, runner: TrackedRunner | undefined): void {
    const { outcomes: answers, counts, retryPolicy: retry } = this.#state;
    request.mayHaveRun = true;
    if (runner && runner.idleMs(now) > IDLE_RUNNER_MS) runner.eject(now);
    if (!isRetryable(request) || !retry.mayRetry(now, request)) {
      answers.fail(request);
      return;
    }
    if (request.isResponseStarted) counts.resumed += 1;
    this.#retry(now, request);
  }

  #retry(now: Moment, request: RoutedRequest): void {
    this.#state.counts.retries += 1;
    this.#placement.place(now, request);
  }

  // ---- time

  /** Looks after a request that is at a runner, at each tick. */
  checkTimeouts(now: Moment, request: RoutedRequest, wasStalled: boolean): void {
    if (now >= later(request.deadline, DEADLINE_GRACE_MS)) this.abort(request);
    else if (wasStalled) return;
    else if (request.phase === 'connecting') this.#checkConnectTimeout(now, request);
    else if (request.phase === 'sent') this.#checkUnresponsiveRunner(now, request);
  }

  #checkConnectTimeout(now: Moment, request: RoutedRequest): void {
    if (now < later(request.sentAt, this.#connectTimeoutMs)) return;
    this.cancel(request);
    this.#placeAfterFailedConnect(now, request);
  }

  /** A runner that says nothing to anybody is left by whatever may be repeated. */
  #checkUnresponsiveRunner(now: Moment, request: RoutedRequest): void {
    const runner = this.#runnerOf(request);
    if (!runner || !isRetryable(request)) return;
    const { latencyTargetMs: targetMs } = request.route;
    const averageMs = this.#state.firstEventTimes.averageMs(request.route) ?? targetMs;
    const timeoutMs = Math.max(MIN_RESPONSE_TIMEOUT_MS, Math.min(averageMs * 4, targetMs));
    if (now - request.sentAt < timeoutMs || runner.idleMs(now) < timeoutMs) return;
    runner.eject(now);
    if (!this.#state.retryPolicy.mayRetryUnresponsive(now, request)) return;
    request.mayHaveRun = true;
    this.cancel(request);
    this.#retry(now, request);
  }

  // ---- leaving a runner

  /** Ends a request that is at a runner, as one that may have run if it was written. */
  abort(request: RoutedRequest): void {
    request.mayHaveRun ||= request.phase !== 'connecting';
    this.cancel(request);
    this.#state.outcomes.expire(request);
  }

  /** Ends the attempt that is under way. */
  cancel(request: RoutedRequest): void {
    this.#state.effects.push({ do: 'cancel', id: request.head.id, attempt: request.attempt });
    this.#releaseRunner(request);
  }

  #releaseRunner(request: RoutedRequest): void {
    if (this.#runnerOf(request)?.removeRequest(request)) this.#state.demand.onAttemptEnd(request);
    request.phase = 'waiting';
  }

  #runnerOf(request: RoutedRequest): TrackedRunner | undefined {
    return this.#state.fleet.runner(request.runner);
  }
}

/** Whether the answer may reach the request's client at all. */
function isForwardable(request: RoutedRequest, { status, isGenuine }: ResponseHead): boolean {
  if (!isGenuine) return false;
  // A status that promises what the runner did not prove must not reach the client of what may run once.
  if (REJECTION_STATUSES.has(status) && !isRetryable(request)) return false;
  // A stream of which something was passed on can only go on: a failure is none to its client any more.
  return !request.isResponseStarted || (status >= 200 && status < 300);
}

/** What the runner's refusal says of it. */
function recordRejection(
  now: Moment,
  request: RoutedRequest,
  runner: TrackedRunner,
  isMissing: boolean,
): void {
  if (!isMissing) {
    runner.onFull(now);
    return;
  }
  runner.onModelMissing(now, request);
  // What a plain runner does not hold is its whole service.
  if (request.modelUnit === '') runner.eject(now);
}
