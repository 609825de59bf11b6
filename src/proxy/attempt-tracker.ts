import { later, type Moment } from '../common/ids.js';
import { latestStartAt } from './caller-time.js';
import type { ResponseHead } from './dispatch-types.js';
import type { DispatcherState } from './dispatcher-state.js';
import type { RequestPlacement } from './request-placement.js';
import { isRetryable, canContinueWith, type RoutedRequest } from './routed-request.js';
import type { TrackedRunner } from './tracked-runner.js';

/**
 * Statuses by which a client concludes that its request was not processed. Where repeating the request could do harm, they
 * are not forwarded unless the runner proved that.
 */
const REJECTION_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Status of a runner that does not have the model that was requested (RFC 9110, 15.5.20). */
const MISDIRECTED = 421;
/** Status of a runner at which the request's deadline passed. */
const GATEWAY_TIMEOUT = 504;
/** How long after a request's deadline, when its client no longer waits, the attempt is cancelled. */
const DEADLINE_GRACE_MS = 30;
/** Ticks are at most this far apart, unless the process is stalled. */
const MAX_TICK_MS = 60;
/** The minimum time without any data from a runner after which a retryable request is moved to another one. */
const MIN_RESPONSE_TIMEOUT_MS = 300;
/** A runner that closed a connection early is ejected if it sent nothing on any connection for this long. */
const IDLE_RUNNER_MS = 200;

/** Tracks attempts at runners: decides by their events whether a request continues, is retried elsewhere, or ends. */
export class AttemptTracker {
  readonly #state: DispatcherState;
  readonly #placement: RequestPlacement;
  /** How long connecting may take, ms. */
  readonly #connectTimeoutMs: number;

  constructor(state: DispatcherState, placement: RequestPlacement, connectTimeoutMs: number) {
    this.#state = state;
    this.#placement = placement;
    this.#connectTimeoutMs = connectTimeoutMs;
  }

  // ---- before the first byte

  /**
   * The attempt has a connection. Returns whether the request may be written: time may have passed since it was placed.
   * Once this returned true the request counts as processed until the runner proves otherwise.
   */
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

  /** The idle connection had closed before anything was written: this does not count as a failure of the runner. */
  onIdleConnectionClosed(now: Moment, id: number, attempt: number): void {
    const request = this.#state.requests.withCurrentAttempt(id, attempt);
    if (request?.phase === 'connecting') this.#placeUnsent(now, request);
  }

  #placeUnsent(now: Moment, request: RoutedRequest): void {
    this.#releaseRunner(request);
    request.triedRunners.delete(request.runner);
    this.#placement.place(now, request);
  }

  /** The connection failed: nothing was sent, so another runner may be used without cost to the retry budget. */
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

  // ---- the response

  /** The head of a response arrived. If it proves the request unprocessed, called once the response is complete. */
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
    // 504: the request's deadline passed at the runner, which is not a failure of the runner.
    if (isFailure && head.status !== GATEWAY_TIMEOUT) runner?.onRequestFailed(now);
    if (isFailure && this.#retryFailure(now, request)) return;
    request.phase = 'responding';
    request.forwardedHead = head;
    if (!isFailure) this.#onSuccess(request, runner);
    this.#state.effects.push({ do: 'forward', id, attempt });
  }

  #onSuccess(request: RoutedRequest, runner: TrackedRunner | undefined): void {
    runner?.onSuccess();
    const fullMs = runner?.takeFullPeriodMs();
    if (fullMs !== undefined)
      this.#state.placeEstimate.recordFullPeriod(request.service.name, fullMs);
  }

  /** The runner responded with 5xx: retries a retryable request. Returns false if the response is to be forwarded. */
  #retryFailure(now: Moment, request: RoutedRequest): boolean {
    if (!isRetryable(request) || !this.#state.retryPolicy.mayRetry(now, request)) return false;
    request.mayHaveRun = true;
    this.cancel(request);
    this.#retry(now, request);
    return true;
  }

  /** The runner proved that it has not processed the request and will not. */
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
    else this.#state.outcomes.reject(request, 'full', this.#retryAfterMs(now, request, isMissing));
  }

  /** When the model that the runner does not have is expected to be loaded, or else a place to be free, ms from now. */
  #retryAfterMs(now: Moment, request: RoutedRequest, isMissing: boolean): number {
    const { loadEstimate, picker, placeEstimate } = this.#state;
    const isLoadNeeded = isMissing && !picker.isLoaded(now, request);
    const loadMs = isLoadNeeded ? loadEstimate.expectedMs(now, request) : undefined;
    return loadMs ?? placeEstimate.retryAfterMs(now, request);
  }

  /** Bytes of the response arrived from the runner. */
  onData(now: Moment, id: number, attempt: number): void {
    const request = this.#state.requests.withCurrentAttempt(id, attempt);
    if (!request) return;
    const runner = this.#runnerOf(request);
    runner?.onActivity(now);
    if (request.phase !== 'responding') return;
    request.clientSilentSince = now;
    if (request.isResponseStarted) return;
    request.isResponseStarted = true;
    runner?.onFirstEvent(request);
    if (request.route.kind === 'stream') this.#recordResponseTime(now, request);
  }

  #recordResponseTime(now: Moment, request: RoutedRequest): void {
    const { responseTimes } = this.#state;
    const tookMs = now - request.sentAt;
    const usualMs = responseTimes.meanMs(request.route) ?? tookMs;
    this.#runnerOf(request)?.onResponseTime(now, tookMs - usualMs);
    responseTimes.record(request.route, tookMs);
  }

  /** The response was forwarded completely. */
  onComplete(now: Moment, id: number, attempt: number): void {
    const { requests } = this.#state;
    const request = requests.withCurrentAttempt(id, attempt);
    if (!request) return;
    if (request.route.kind !== 'stream') this.#recordResponseTime(now, request);
    this.#state.placeEstimate.recordOccupancy(request.service.name, now - request.sentAt);
    this.#releaseRunner(request);
    requests.remove(request);
    if (requests.size > 0) this.#placement.sendWaiting(now);
  }

  // ---- failures

  /** The connection closed after the request was written. `isStale`: an idle connection closed as it was reused. */
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

  /** A stale idle connection says little about its runner: if no other is available, a new connection to it may work. */
  #allowNewConnection(now: Moment, request: RoutedRequest): void {
    if (this.#state.picker.hasAvailable(now, request)) return;
    request.triedRunners.delete(request.runner);
    request.needsNewConnection = true;
  }

  /** An attempt that may have been processed has failed. `runner`: the runner that the failure counts against, if any. */
  #onAttemptFailed(now: Moment, request: RoutedRequest, runner: TrackedRunner | undefined): void {
    const { outcomes, counts, retryPolicy } = this.#state;
    request.mayHaveRun = true;
    runner?.onRequestFailed(now);
    if (runner && runner.idleMs(now) > IDLE_RUNNER_MS) runner.eject(now);
    if (!isRetryable(request) || !retryPolicy.mayRetry(now, request)) {
      outcomes.fail(request);
      return;
    }
    if (request.isResponseStarted) counts.resumed += 1;
    this.#retry(now, request);
  }

  #retry(now: Moment, request: RoutedRequest): void {
    this.#state.counts.retries += 1;
    this.#placement.place(now, request);
  }

  // ---- timeouts

  /** Applies deadline and timeouts to a request that is at a runner; called at each tick. */
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

  /**
   * Retries a retryable request whose runner sends nothing on any connection: once that is unusual for responses of the
   * route, which ejects the runner, or at the last moment at which another runner can still respond in the client's time.
   */
  #checkUnresponsiveRunner(now: Moment, request: RoutedRequest): void {
    const runner = this.#runnerOf(request);
    if (!runner || !isRetryable(request)) return;
    const { responseTimes, retryPolicy } = this.#state;
    const silentMs = Math.min(now - request.sentAt, runner.idleMs(now));
    if (silentMs < MIN_RESPONSE_TIMEOUT_MS) return;
    const isUnusual = silentMs >= responseTimes.unusualMs(request.route);
    if (isUnusual) runner.eject(now);
    const latestAt = latestStartAt(request, responseTimes.neededMs(request.route));
    if (now > latestAt || !(isUnusual || later(now, MAX_TICK_MS) > latestAt)) return;
    if (!retryPolicy.mayRetryUnresponsive(now, request)) return;
    request.mayHaveRun = true;
    this.cancel(request);
    this.#retry(now, request);
  }

  // ---- the end of an attempt

  /** Ends a request that is at a runner; it may have been processed if it was written. */
  abort(request: RoutedRequest): void {
    request.mayHaveRun ||= request.phase !== 'connecting';
    this.cancel(request);
    this.#state.outcomes.expire(request);
  }

  /** Cancels the current attempt. */
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

/** Whether the response may be forwarded to the client of the request. */
function isForwardable(request: RoutedRequest, head: ResponseHead): boolean {
  if (!head.isGenuine) return false;
  // Without the runner's proof the client would retry, though the request may have been processed and must not be again.
  if (REJECTION_STATUSES.has(head.status) && !isRetryable(request)) return false;
  return canContinueWith(request, head);
}

/** Records why the runner did not process the request. */
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
  // A plain runner has no models, so it does not serve the service at all.
  if (request.modelUnit === '') runner.eject(now);
}
