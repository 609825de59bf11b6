import { later, type Moment } from '../common/ids.js';
import type { DispatcherState } from './dispatcher-state.js';
import { LoadWait } from './load-wait.js';
import {
  byUrgency,
  isRejectable,
  isRetryable,
  MIN_TIME_LEFT_MS,
  type RoutedRequest,
} from './routed-request.js';
import type { TrackedRunner } from './tracked-runner.js';

/** A request whose runners are all busy is placed again after this time. */
const BUSY_WAIT_MS = 20;
/** For so long at the least after its last attempt began a request that was broken off waits for another runner. */
const MIN_RESUME_WAIT_MS = 300;
/** When to come back: where all runners are busy, and where no runner will ever hold the model. */
const BUSY_RETRY_AFTER_MS = 250;
const UNKNOWN_MODEL_RETRY_AFTER_MS = 1000;
/** The lowest urgency that is passed on to a runner. */
const LOWEST_URGENCY = 9;

/** Places each request: sends it to the best runner, queues it, or rejects it. */
export class RequestPlacement {
  readonly #state: DispatcherState;
  readonly #loadWait: LoadWait;

  constructor(state: DispatcherState) {
    this.#state = state;
    this.#loadWait = new LoadWait(state.picker, state.forecast, state.firstEventTimes);
  }

  /** Places a request that is at no runner: sends, queues, rejects or fails it. */
  place(now: Moment, request: RoutedRequest): void {
    const { outcomes, picker } = this.#state;
    // Its deadline may have passed during a stall of this process, or before it arrived.
    if (now >= request.deadline) {
      outcomes.expire(request);
      return;
    }
    const runner = picker.pick(now, request);
    if (runner) this.#send(now, request, runner);
    else if (request.modelUnit !== '' && !picker.isLoaded(now, request))
      this.#awaitLoad(now, request);
    // The runners that have it are full, ejected or tried already: a later attempt may succeed.
    else if (shouldWait(now, request)) this.#wait(now, request, BUSY_WAIT_MS);
    else outcomes.reject(request, 'full', BUSY_RETRY_AFTER_MS);
  }

  /** Configuration or fleet changed: places all waiting requests again, by priority. */
  placeAll(now: Moment): void {
    const waiting: RoutedRequest[] = [];
    for (const request of this.#state.requests.all())
      if (request.phase === 'waiting') waiting.push(request);
    if (waiting.length === 0) return;
    waiting.sort(byUrgency);
    for (const request of waiting) this.#placeAgain(now, request);
  }

  /** Capacity became free: places the first waiting request that can use it. */
  placeNext(now: Moment): void {
    for (const request of this.#state.requests.all()) {
      if (request.phase !== 'waiting' || !this.#state.picker.pick(now, request)) continue;
      this.#placeAgain(now, request);
      break;
    }
  }

  /** Applies deadline and delay to a waiting request; called at each tick. */
  checkWaiting(now: Moment, request: RoutedRequest): void {
    if (now >= giveUpAt(request) - MIN_TIME_LEFT_MS) this.#state.outcomes.expire(request);
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

  /** No runner has the model or adapter that it needs. */
  #awaitLoad(now: Moment, request: RoutedRequest): void {
    const { outcomes, counts, demand } = this.#state;
    counts.misses += 1;
    const verdict = this.#loadWait.decide(now, request);
    if (verdict.do === 'unknownModel') {
      outcomes.reject(request, 'no-runner', UNKNOWN_MODEL_RETRY_AFTER_MS);
      return;
    }
    demand.onModelMissing(now, request);
    if (verdict.do === 'wait') {
      this.#wait(now, request, verdict.forMs);
      return;
    }
    demand.onReturnExpected(now, request, verdict.expectedMs);
    outcomes.reject(request, 'not-loaded', verdict.retryAfterMs);
  }

  #send(now: Moment, request: RoutedRequest, runner: TrackedRunner): void {
    const { id, address } = runner.facts;
    request.phase = 'connecting';
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
      isBuffered: request.route.kind === 'safe',
      isResumable: request.route.kind === 'stream' && request.route.isResumable,
      needsNewConnection: request.needsNewConnection,
    });
    request.needsNewConnection = false;
  }
}

/** When its client stops waiting: a response that has begun is awaited until the deadline. */
function giveUpAt(request: RoutedRequest): Moment {
  return request.isResponseStarted ? request.deadline : request.patienceEnd;
}

/** Whether a request whose runners are all busy is queued. */
function shouldWait(now: Moment, request: RoutedRequest): boolean {
  const { route } = request;
  if (request.deadline - now <= MIN_TIME_LEFT_MS * 2) return false;
  // If it is rejected early, its client may still retry in time.
  if (isRejectable(request))
    return request.attemptsSent === 0 && now - request.arrivedAt < route.latencyTargetMs / 4;
  // It may go on elsewhere: a place may come free before its client notices the pause.
  return (
    isRetryable(request) &&
    request.attemptsSent < route.maxAttempts &&
    now - request.sentAt < Math.max(MIN_RESUME_WAIT_MS, route.gapTargetMs / 2)
  );
}
