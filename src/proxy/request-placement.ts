import { later, type Moment } from '../common/ids.js';
import { hasTimeToRun, latestStartAt } from './caller-time.js';
import type { DispatcherState } from './dispatcher-state.js';
import { QueueOutlook } from './queue-outlook.js';
import { isUntried, type RoutedRequest } from './routed-request.js';
import type { TrackedRunner } from './tracked-runner.js';

/** Retry delay given to clients when the service does not have the model. */
const UNKNOWN_MODEL_RETRY_AFTER_MS = 1000;
/**
 * The lowest urgency that is passed on to a runner. The urgency is the route's priority, on the same scale (0 is the
 * most urgent); higher numbers are passed on as this one.
 */
const LOWEST_URGENCY = 9;

/** Places each request: sends it to the best runner, lets it wait, or rejects it (docs/waiting.md). */
export class RequestPlacement {
  readonly #state: DispatcherState;

  constructor(state: DispatcherState) {
    this.#state = state;
  }

  /** Places a request that has no current attempt, after those that wait for the same and come before it. */
  place(now: Moment, request: RoutedRequest): void {
    const { waiting } = this.#state.requests;
    const outlook = this.#outlook(now);
    if (waiting.inQueueOf(request).length === 0) {
      if (!this.#trySend(now, request)) this.#waitOrReject(now, request, outlook, 0);
      return;
    }
    this.#enqueue(now, request);
    this.sendWaiting(now);
    const aheadCount = waiting.inQueueOf(request).indexOf(request);
    if (aheadCount >= 0) this.#waitOrReject(now, request, outlook, aheadCount);
  }

  /**
   * Places all waiting requests again, and new ones with them; called at each tick, and when configuration or fleet have
   * changed.
   */
  placeAll(now: Moment, newRequests: readonly RoutedRequest[] = []): void {
    for (const request of newRequests) this.#enqueue(now, request);
    const { waiting } = this.#state.requests;
    if (waiting.isEmpty) return;
    this.sendWaiting(now);
    for (const queue of waiting.queues()) {
      const outlook = this.#outlook(now);
      let aheadCount = 0;
      for (const request of [...queue])
        if (this.#waitOrReject(now, request, outlook, aheadCount)) aheadCount += 1;
    }
  }

  /** Sends the waiting requests that runners can take now, in serving order; called when a place became free. */
  sendWaiting(now: Moment): void {
    this.#state.requests.waiting.offer((request) => {
      if (this.#trySend(now, request)) return 'started';
      // Others of its queue may be sent although this one may not: its time has passed, or it was tried somewhere.
      const standsForOthers = hasTimeToRun(now, request) && isUntried(request);
      return standsForOthers ? 'blocked' : 'skipped';
    });
  }

  /** Sends the request if a runner can take it; returns whether it does. */
  #trySend(now: Moment, request: RoutedRequest): boolean {
    if (!hasTimeToRun(now, request)) return false;
    const runner = this.#state.picker.pick(now, request);
    if (runner) this.#send(now, request, runner);
    return runner !== undefined;
  }

  /**
   * Lets the request wait while the expected end of what it waits for and a response fit into the time until its client
   * gives up; otherwise rejects it at once. Returns whether it waits.
   */
  #waitOrReject(
    now: Moment,
    request: RoutedRequest,
    outlook: QueueOutlook,
    aheadCount: number,
  ): boolean {
    const { outcomes, requests } = this.#state;
    // Its time may have passed during a stall of this process, or before it arrived.
    if (!hasTimeToRun(now, request)) outcomes.expire(request);
    else if (outlook.needsLoad(request)) this.#awaitLoad(now, request);
    else this.#awaitPlace(now, request, outlook.placeMs(request, aheadCount));
    return requests.waiting.has(request);
  }

  /** No runner has the model or adapter that the request needs. */
  #awaitLoad(now: Moment, request: RoutedRequest): void {
    const { outcomes, demand, loadEstimate } = this.#state;
    const expectedMs = loadEstimate.expectedMs(now, request);
    if (expectedMs === undefined) {
      outcomes.reject(request, 'no-runner', UNKNOWN_MODEL_RETRY_AFTER_MS);
      return;
    }
    this.#noteMiss(now, request);
    if (this.#canStart(later(now, expectedMs), request)) {
      this.#wait(request);
      return;
    }
    // Its client, or another, will ask for the model again once it is loaded: it still counts as waiting demand.
    demand.onClientRetryExpected(now, request, expectedMs);
    outcomes.reject(request, 'not-loaded', expectedMs);
  }

  /** Notifies the leader of a request for a model that no runner has, unless it waits already. */
  #noteMiss(now: Moment, request: RoutedRequest): void {
    const { counts, demand, requests } = this.#state;
    if (requests.waiting.has(request)) return;
    counts.misses += 1;
    demand.onModelMissing(now, request);
  }

  /** The runners that have the model are full, ejected, warming up or already tried. */
  #awaitPlace(now: Moment, request: RoutedRequest, expectedMs: number | undefined): void {
    const { outcomes, placeEstimate } = this.#state;
    if (expectedMs !== undefined && this.#canStart(later(now, expectedMs), request))
      this.#wait(request);
    else outcomes.reject(request, 'full', placeEstimate.retryAfterMs(now, request));
  }

  /** Whether a request that starts at a runner at `startAt` is answered before its client gives up. */
  #canStart(startAt: Moment, request: RoutedRequest): boolean {
    return startAt <= this.#latestStartAt(request);
  }

  #latestStartAt(request: RoutedRequest): Moment {
    return latestStartAt(request, this.#state.responseTimes.neededMs(request.route));
  }

  #outlook(now: Moment): QueueOutlook {
    return new QueueOutlook(now, this.#state.picker, this.#state.placeEstimate);
  }

  /** Lets the request wait before it was decided whether it may. */
  #enqueue(now: Moment, request: RoutedRequest): void {
    if (this.#outlook(now).needsLoad(request)) this.#noteMiss(now, request);
    this.#wait(request);
  }

  #wait(request: RoutedRequest): void {
    const { requests, counts } = this.#state;
    if (requests.waiting.has(request)) return;
    counts.waits += 1;
    requests.startWaiting(request, this.#latestStartAt(request));
  }

  #send(now: Moment, request: RoutedRequest, runner: TrackedRunner): void {
    const { id, address } = runner.info;
    this.#state.requests.endWaiting(request);
    request.phase = 'connecting';
    // Counts every attempt; `attemptsSent` counts only those that were written to a runner.
    request.attempt += 1;
    request.runner = id;
    request.sentAt = now;
    request.triedRunners.add(id);
    runner.addRequest(now, request);
    this.#state.demand.onAttemptStart(request);
    this.#state.effects.push({
      do: 'send',
      id: request.head.id,
      attempt: request.attempt,
      runner: id,
      address,
      timeLeftMs: Math.max(1, Math.floor(request.deadline - now)),
      urgency: Math.min(LOWEST_URGENCY, request.route.priority),
      // A safe request may be processed again, so its response is buffered: a retry is possible until it is complete.
      isBuffered: request.route.kind === 'safe',
      isResumable: request.route.kind === 'stream' && request.route.isResumable,
      needsNewConnection: request.needsNewConnection,
    });
    request.needsNewConnection = false;
  }
}
