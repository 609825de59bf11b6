import { later, type Moment } from '../common/ids.js';
import type { DispatcherState } from './dispatcher-state.js';
import { LoadWait } from './load-wait.js';
import {
  byUrgency,
  isRefusable,
  isRepeatable,
  LEAST_LEFT_MS,
  type RoutedRequest,
} from './routed-request.js';
import type { RunnerAccount } from './runner-account.js';

/** A request for which all runners are busy is placed again after so long. */
const BUSY_WAIT_MS = 20;
/** For so long at the least after its last attempt began a request that was broken off waits for another runner. */
const LEAST_PAUSE_MS = 300;
/** When to come back: where all runners are busy, and where no runner will ever hold the model. */
const BUSY_RETRY_MS = 250;
const UNKNOWN_RETRY_MS = 1000;
/** The least urgent that a runner is told. */
const LEAST_URGENCY = 9;

/** Sends each request to the best runner, or lets it wait for one, or refuses it. */
export class RequestPlacement {
  readonly #state: DispatcherState;
  readonly #loadWait: LoadWait;

  constructor(state: DispatcherState) {
    this.#state = state;
    this.#loadWait = new LoadWait(state.choice, state.forecast, state.times);
  }

  /** Decides now what becomes of a request that is at no runner. */
  place(now: Moment, request: RoutedRequest): void {
    const { answers, choice } = this.#state;
    // Its time may have run out while we stood still, or before it came.
    if (now >= request.deadline) {
      answers.expire(request);
      return;
    }
    const runner = choice.choose(now, request);
    if (runner) this.#send(now, request, runner);
    else if (request.unit !== '' && !choice.isHeld(now, request)) this.#awaitLoad(now, request);
    // Runners that hold it are full, avoided or tried: soon another moment may do.
    else if (isWorthWaiting(now, request)) this.#wait(now, request, BUSY_WAIT_MS);
    else answers.refuse(request, 'full', BUSY_RETRY_MS);
  }

  /** Something changed: all that wait are placed again, the most urgent first. */
  retryAll(now: Moment): void {
    const waiting: RoutedRequest[] = [];
    for (const request of this.#state.requests.all())
      if (request.phase === 'waiting') waiting.push(request);
    if (waiting.length === 0) return;
    waiting.sort(byUrgency);
    for (const request of waiting) this.#tryAgain(now, request);
  }

  /** A place has come free: the first that can use it is placed. */
  retryOne(now: Moment): void {
    for (const request of this.#state.requests.all()) {
      if (request.phase !== 'waiting' || !this.#state.choice.choose(now, request)) continue;
      this.#tryAgain(now, request);
      break;
    }
  }

  /** Looks after a request that waits, at each tick. */
  check(now: Moment, request: RoutedRequest): void {
    if (now >= request.deadline - LEAST_LEFT_MS) this.#state.answers.expire(request);
    else if (now >= request.waitUntil) this.#tryAgain(now, request);
  }

  #tryAgain(now: Moment, request: RoutedRequest): void {
    this.#state.demand.leave(request);
    this.place(now, request);
  }

  #wait(now: Moment, request: RoutedRequest, forMs: number): void {
    request.phase = 'waiting';
    request.waitUntil = later(now, forMs);
    this.#state.demand.wait(request);
  }

  /** No runner holds what it needs. */
  #awaitLoad(now: Moment, request: RoutedRequest): void {
    const { answers, counts, demand } = this.#state;
    counts.misses += 1;
    const verdict = this.#loadWait.judge(now, request);
    if (verdict.do === 'unknown') {
      answers.refuse(request, 'no-runner', UNKNOWN_RETRY_MS);
      return;
    }
    demand.miss(now, request);
    if (verdict.do === 'wait') {
      this.#wait(now, request, verdict.forMs);
      return;
    }
    demand.want(now, request, verdict.dueMs);
    answers.refuse(request, 'not-loaded', verdict.retryAfterMs);
  }

  #send(now: Moment, request: RoutedRequest, runner: RunnerAccount): void {
    const { id, address } = runner.facts;
    request.phase = 'connecting';
    request.attempt += 1;
    request.runner = id;
    request.sentAt = now;
    request.tried.add(id);
    runner.add(now, request);
    this.#state.demand.start(request);
    this.#state.effects.push({
      do: 'send',
      id: request.head.id,
      attempt: request.attempt,
      runner: id,
      address,
      timeLeftMs: Math.max(1, Math.floor(request.deadline - now)),
      urgency: Math.min(LEAST_URGENCY, request.route.priority),
      isBuffered: request.route.kind === 'safe',
      isResumable: request.route.kind === 'stream' && request.route.isResumable,
      isFresh: request.needsFresh,
    });
    request.needsFresh = false;
  }
}

/** Whether a request that found all its runners busy is held for a moment. */
function isWorthWaiting(now: Moment, request: RoutedRequest): boolean {
  const { route } = request;
  if (request.deadline - now <= LEAST_LEFT_MS * 2) return false;
  // One that is refused early may come back in time.
  if (isRefusable(request))
    return request.sends === 0 && now - request.arrivedAt < route.targetMs / 4;
  // It may go on elsewhere: a place may come free before its client notices the pause.
  return (
    isRepeatable(request) &&
    request.sends < route.tries &&
    now - request.sentAt < Math.max(LEAST_PAUSE_MS, route.gapTargetMs / 2)
  );
}
