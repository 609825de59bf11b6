import { later, type Moment } from '../common/ids.js';
import { latestStartAt } from './caller-time.js';
import type { DispatcherState } from './dispatcher-state.js';
import type { PlaceForecast } from './place-estimate.js';
import type { RoutedRequest } from './routed-request.js';
import { inServingOrder } from './serving-order.js';
import type { TrackedRunner } from './tracked-runner.js';
import { queueKeyOf } from './waiting-requests.js';

/** Retry delay given to clients when the service does not have the model. */
const UNKNOWN_MODEL_RETRY_AFTER_MS = 1000;
/**
 * The lowest urgency that is passed on to a runner. The urgency is the route's priority, on the same scale (0 is the
 * most urgent); higher numbers are passed on as this one.
 */
const LOWEST_URGENCY = 9;

/** What placing requests in order has found out about those that wait for the same. */
interface QueueState {
  /** Whether no runner can take a request that was not tried anywhere yet. */
  isBlocked: boolean;
  /** The number of requests that go on waiting and come before the next one. */
  aheadCount: number;
  /** When the runners have places for requests that were not tried anywhere yet; undefined before it was estimated. */
  forecast: PlaceForecast | undefined;
}

/** Places each request: sends it to the best runner, lets it wait, or rejects it (docs/waiting.md). */
export class RequestPlacement {
  readonly #state: DispatcherState;

  constructor(state: DispatcherState) {
    this.#state = state;
  }

  /** Places a request that has no current attempt, after those that wait for the same and come before it. */
  place(now: Moment, request: RoutedRequest): void {
    this.#placeInOrder(now, [...this.#state.requests.waiting.inQueueOf(request), request]);
  }

  /**
   * Places all waiting requests again, and new ones with them; called at each tick, and when configuration or fleet have
   * changed.
   */
  placeAll(now: Moment, newRequests: readonly RoutedRequest[] = []): void {
    const { waiting } = this.#state.requests;
    if (waiting.isEmpty && newRequests.length === 0) return;
    this.#placeInOrder(now, [...waiting.all(), ...newRequests]);
  }

  /** Sends the waiting requests that runners can take now; called when a place became free. */
  sendWaiting(now: Moment): void {
    const { requests, responseTimes } = this.#state;
    if (requests.waiting.isEmpty) return;
    const queues = new Map<string, QueueState>();
    for (const request of inServingOrder(requests.waiting.all(), responseTimes))
      this.#trySend(now, request, queueOf(queues, request));
  }

  #placeInOrder(now: Moment, requests: readonly RoutedRequest[]): void {
    const queues = new Map<string, QueueState>();
    for (const request of inServingOrder(requests, this.#state.responseTimes)) {
      const queue = queueOf(queues, request);
      if (!this.#isExpired(now, request) && !this.#trySend(now, request, queue))
        this.#waitOrReject(now, request, queue);
    }
  }

  /** Ends a request whose deadline has passed, during a stall of this process or before it arrived. */
  #isExpired(now: Moment, request: RoutedRequest): boolean {
    if (now < request.deadline) return false;
    this.#state.outcomes.expire(request);
    return true;
  }

  /** Sends the request if a runner can take it; returns whether it does. */
  #trySend(now: Moment, request: RoutedRequest, queue: QueueState): boolean {
    const runner = queue.isBlocked ? undefined : this.#state.picker.pick(now, request);
    if (runner) this.#send(now, request, runner);
    // A request that was tried somewhere may be sent to fewer runners than the others.
    else if (isUntried(request)) queue.isBlocked = true;
    return runner !== undefined;
  }

  /**
   * Lets the request wait while the expected end of what it waits for and a response fit into the time until its client
   * gives up; otherwise rejects it at once.
   */
  #waitOrReject(now: Moment, request: RoutedRequest, queue: QueueState): void {
    // A plain service (empty `modelUnit`) needs no model to be loaded.
    if (request.modelUnit !== '' && !this.#state.picker.isLoaded(now, request))
      this.#awaitLoad(now, request);
    else this.#awaitPlace(now, request, queue);
  }

  /** No runner has the model or adapter that the request needs. */
  #awaitLoad(now: Moment, request: RoutedRequest): void {
    const { outcomes, demand, loadEstimate, requests } = this.#state;
    const expectedMs = loadEstimate.expectedMs(now, request);
    if (expectedMs === undefined) {
      outcomes.reject(request, 'no-runner', UNKNOWN_MODEL_RETRY_AFTER_MS);
      return;
    }
    if (!requests.waiting.has(request)) this.#onMiss(now, request);
    if (this.#canStart(later(now, expectedMs), request)) {
      this.#wait(request);
      return;
    }
    // Its client, or another, will ask for the model again once it is loaded: it still counts as waiting demand.
    demand.onClientRetryExpected(now, request, expectedMs);
    outcomes.reject(request, 'not-loaded', expectedMs);
  }

  #onMiss(now: Moment, request: RoutedRequest): void {
    this.#state.counts.misses += 1;
    this.#state.demand.onModelMissing(now, request);
  }

  /** The runners that have the model are full, ejected, warming up or already tried. */
  #awaitPlace(now: Moment, request: RoutedRequest, queue: QueueState): void {
    const { outcomes, placeEstimate } = this.#state;
    const forecast = this.#forecastOf(now, request, queue);
    if (forecast) {
      const expectedMs = forecast.firstMs + forecast.intervalMs * queue.aheadCount;
      if (this.#canStart(later(now, expectedMs), request)) {
        queue.aheadCount += 1;
        this.#wait(request);
        return;
      }
    }
    outcomes.reject(request, 'full', placeEstimate.retryAfterMs(now, request));
  }

  /** When runners have places for the request; undefined if it may not be sent to any runner any more. */
  #forecastOf(now: Moment, request: RoutedRequest, queue: QueueState): PlaceForecast | undefined {
    if (!isUntried(request)) return this.#state.placeEstimate.forecast(now, request);
    queue.forecast ??= this.#state.placeEstimate.forecast(now, request);
    return queue.forecast;
  }

  /** Whether a request that starts at a runner at `startAt` is answered before its client gives up. */
  #canStart(startAt: Moment, request: RoutedRequest): boolean {
    const neededMs = this.#state.responseTimes.neededMs(request.route);
    return startAt <= latestStartAt(request, neededMs);
  }

  #wait(request: RoutedRequest): void {
    const { requests, counts } = this.#state;
    if (!requests.waiting.has(request)) counts.waits += 1;
    requests.startWaiting(request);
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

function isUntried({ triedRunners, attemptsSent }: RoutedRequest): boolean {
  return triedRunners.size === 0 && attemptsSent === 0;
}

function queueOf(queues: Map<string, QueueState>, request: RoutedRequest): QueueState {
  const key = queueKeyOf(request);
  const known = queues.get(key);
  if (known) return known;
  const queue: QueueState = { isBlocked: false, aheadCount: 0, forecast: undefined };
  queues.set(key, queue);
  return queue;
}
