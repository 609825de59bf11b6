import { later, type Moment } from '../common/ids.js';
import { clientGivesUpAt, latestStartAt } from './caller-time.js';
import type { DispatcherState } from './dispatcher-state.js';
import { byUrgency, MIN_TIME_LEFT_MS, type RoutedRequest } from './routed-request.js';
import type { TrackedRunner } from './tracked-runner.js';

/** Limits of the time after which a request that waits for a load is placed again. */
const MIN_WAIT_MS = 30;
const MAX_WAIT_MS = 150;
/** A request whose runners are all busy is placed again after this time. */
const BUSY_WAIT_MS = 20;
/** Retry delay given to clients when the service does not have the model. */
const UNKNOWN_MODEL_RETRY_AFTER_MS = 1000;
/**
 * The lowest urgency that is passed on to a runner. The urgency is the route's priority, on the same scale (0 is the
 * most urgent); higher numbers are passed on as this one.
 */
const LOWEST_URGENCY = 9;

/** Places each request: sends it to the best runner, queues it, or rejects it. */
export class RequestPlacement {
  readonly #state: DispatcherState;

  constructor(state: DispatcherState) {
    this.#state = state;
  }

  /** Places a request that has no current attempt: sends, queues, rejects or fails it. */
  place(now: Moment, request: RoutedRequest): void {
    const { outcomes, picker } = this.#state;
    // Its deadline may have passed during a stall of this process, or before it arrived.
    if (now >= request.deadline) {
      outcomes.expire(request);
      return;
    }
    const runner = picker.pick(now, request);
    if (runner) this.#send(now, request, runner);
    // Not for a plain service (empty `modelUnit`), which needs no model to be loaded.
    else if (request.modelUnit !== '' && !picker.isLoaded(now, request))
      this.#awaitLoad(now, request);
    else this.#awaitPlace(now, request);
  }

  /** Places all waiting requests again, the most urgent first; called when configuration or fleet have changed. */
  placeAll(now: Moment): void {
    const waiting: RoutedRequest[] = [];
    for (const request of this.#state.requests.all())
      if (request.phase === 'waiting') waiting.push(request);
    if (waiting.length === 0) return;
    waiting.sort(byUrgency);
    for (const request of waiting) this.#placeAgain(now, request);
  }

  /** Places the first waiting request that a runner can take; called when capacity became free. */
  placeNext(now: Moment): void {
    for (const request of this.#state.requests.all()) {
      if (request.phase !== 'waiting' || !this.#state.picker.pick(now, request)) continue;
      this.#placeAgain(now, request);
      break;
    }
  }

  /** Expires a waiting request or places it again if it is time; called at each tick. */
  checkWaiting(now: Moment, request: RoutedRequest): void {
    if (now >= clientGivesUpAt(request) - MIN_TIME_LEFT_MS) this.#state.outcomes.expire(request);
    else if (now >= request.placeAgainAt) this.#placeAgain(now, request);
  }

  #placeAgain(now: Moment, request: RoutedRequest): void {
    this.#state.demand.onWaitEnd(request);
    this.place(now, request);
  }

  #wait(now: Moment, request: RoutedRequest, forMs: number): void {
    request.phase = 'waiting';
    request.placeAgainAt = later(now, forMs);
    this.#state.demand.onWaitStart(request);
  }

  /**
   * No runner has the model or adapter that the request needs. It waits while the expected rest of the load and a response
   * fit into the time until its client gives up; otherwise it is rejected at once, with the time until the load is complete.
   */
  #awaitLoad(now: Moment, request: RoutedRequest): void {
    const { outcomes, counts, demand, loadEstimate } = this.#state;
    counts.misses += 1;
    const expectedMs = loadEstimate.expectedMs(now, request);
    if (expectedMs === undefined) {
      outcomes.reject(request, 'no-runner', UNKNOWN_MODEL_RETRY_AFTER_MS);
      return;
    }
    demand.onModelMissing(now, request);
    if (this.#canStart(later(now, expectedMs), request)) {
      this.#wait(now, request, Math.max(MIN_WAIT_MS, Math.min(MAX_WAIT_MS, expectedMs)));
      return;
    }
    // Its client, or another, will ask for the model again once it is loaded: it still counts as waiting demand.
    demand.onClientRetryExpected(now, request, expectedMs);
    outcomes.reject(request, 'not-loaded', expectedMs);
  }

  /**
   * The runners that have the model are full, ejected, warming up or already tried. The request waits while the expected time
   * until one of them has a place and a response fit into the time until its client gives up.
   */
  #awaitPlace(now: Moment, request: RoutedRequest): void {
    const { outcomes, placeEstimate } = this.#state;
    const expectedMs = placeEstimate.expectedMs(now, request);
    if (expectedMs !== undefined && this.#canStart(later(now, expectedMs), request))
      this.#wait(now, request, BUSY_WAIT_MS);
    else outcomes.reject(request, 'full', placeEstimate.retryAfterMs(now, request));
  }

  /** Whether a request that starts at a runner at `startAt` is answered before its client gives up. */
  #canStart(startAt: Moment, request: RoutedRequest): boolean {
    const neededMs = this.#state.responseTimes.neededMs(request.route);
    return startAt <= latestStartAt(request, neededMs);
  }

  #send(now: Moment, request: RoutedRequest, runner: TrackedRunner): void {
    const { id, address } = runner.info;
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
