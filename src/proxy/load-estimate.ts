import type { Moment } from '../common/ids.js';
import type { EngineModel } from '../route/routing.js';
import { silenceTimeoutMs } from './client-timeout.js';
import type { FirstEventTimes } from './first-event-times.js';
import type { LoadForecast } from './load-forecast.js';
import { MIN_TIME_LEFT_MS, type RoutedRequest } from './routed-request.js';
import type { RunnerPicker } from './runner-picker.js';

/** The decision on a request whose model or adapter no runner has. */
export type LoadVerdict =
  /** The service has no such model. */
  | { readonly do: 'unknownModel' }
  /** The request waits, and is placed again after `forMs`. */
  | { readonly do: 'wait'; readonly forMs: number }
  /** Rejected, and its client is expected to retry: the load is expected to complete in `expectedMs`. */
  | {
      readonly do: 'rejectUntilLoaded';
      readonly expectedMs: number;
      readonly retryAfterMs: number;
    };

/** Expected load time of an adapter without a report from the leader. */
const ADAPTER_LOAD_MS = 80;
/** Expected load time of a model without a report: the configured time, multiplied by this factor, plus the extra time. */
const MODEL_LOAD_FACTOR = 1.5;
const MODEL_LOAD_EXTRA_MS = 200;
const MIN_EXPECTED_MS = 40;
/** Expected time to the first event before one was observed. */
const DEFAULT_FIRST_EVENT_MS = 100;
/** Added to the expected load time in the retry delay given to clients. */
const RETRY_AFTER_MARGIN_MS = 60;
/** Clients obey a retry delay of up to a third of their time left; a little less allows for the network latency. */
const MAX_RETRY_AFTER_DIVISOR = 3.2;
/** Loads take longer while many requests run: the next attempt must still reach a load that takes this much longer. */
const FORECAST_MARGIN = 1.15;
/** Limits of the time after which a waiting request is placed again. */
const MIN_WAIT_MS = 30;
const MAX_WAIT_MS = 150;

/** Decides whether a request waits for the load of its model or is rejected, so that its client retries later. */
export class LoadWait {
  readonly #picker: RunnerPicker;
  readonly #forecast: LoadForecast;
  readonly #firstEventTimes: FirstEventTimes;

  constructor(picker: RunnerPicker, forecast: LoadForecast, firstEventTimes: FirstEventTimes) {
    this.#picker = picker;
    this.#forecast = forecast;
    this.#firstEventTimes = firstEventTimes;
  }

  /** Decides on a request that needs a load; changes nothing. */
  decide(now: Moment, request: RoutedRequest): LoadVerdict {
    const model = request.service.engine?.models.find(({ name }) => name === request.head.model);
    if (!model) return { do: 'unknownModel' };
    const expectedMs = this.#expectedMs(now, request, model);
    const firstEventMs = this.#firstEventTimes.averageMs(request.route) ?? DEFAULT_FIRST_EVENT_MS;
    const timeLeftMs = request.deadline - now;
    const patienceMs = request.patienceEnd - now;
    const responseMs = expectedMs + firstEventMs;
    const isOnTime = now - request.arrivedAt + responseMs <= request.route.latencyTargetMs;
    // It is better to reject early, so that the client's next attempt is served in time, than to serve this one late.
    if (!isOnTime && canRetryInTime(now, request, expectedMs, firstEventMs))
      return {
        do: 'rejectUntilLoaded',
        expectedMs,
        retryAfterMs: expectedMs + RETRY_AFTER_MARGIN_MS,
      };
    const wait: LoadVerdict = {
      do: 'wait',
      forMs: Math.max(MIN_WAIT_MS, Math.min(MAX_WAIT_MS, expectedMs)),
    };
    if (responseMs < patienceMs) return wait;
    const retryAfterMs = Math.min(expectedMs, timeLeftMs / MAX_RETRY_AFTER_DIVISOR);
    const mayWait = patienceMs > MIN_TIME_LEFT_MS * 2;
    if (mayWait && shouldWaitDespitePatience(request, responseMs, timeLeftMs, retryAfterMs))
      return wait;
    return { do: 'rejectUntilLoaded', expectedMs, retryAfterMs };
  }

  /** Time until the load is expected to complete, ms, by the leader's report, else by the usual load time. */
  #expectedMs(now: Moment, request: RoutedRequest, model: EngineModel): number {
    const expectedAt = this.#forecast.expectedAt(request.head.model, request.head.adapter);
    if (expectedAt !== undefined) return Math.max(MIN_EXPECTED_MS, expectedAt - now);
    return this.#picker.isModelLoaded(now, request)
      ? ADAPTER_LOAD_MS
      : model.loadMs * MODEL_LOAD_FACTOR + MODEL_LOAD_EXTRA_MS;
  }
}

/** Whether there is enough time for the client to be rejected and to retry successfully. */
function canRetryInTime(
  now: Moment,
  request: RoutedRequest,
  expectedMs: number,
  firstEventMs: number,
): boolean {
  const timeLeftMs = request.deadline - now;
  return (
    request.isFirstAttempt &&
    !request.mayHaveRun &&
    now - request.arrivedAt <= request.route.latencyTargetMs / 4 &&
    expectedMs + RETRY_AFTER_MARGIN_MS < timeLeftMs / 3 &&
    expectedMs + firstEventMs < timeLeftMs - expectedMs
  );
}

/**
 * Whether a request waits although its client is expected to give up before the load completes. An attempt after the first
 * always does, since the load may complete sooner than expected. A first attempt waits only if the client, when rejected
 * now, would give up its next attempt before the load completes as well, and only if the deadline leaves time enough.
 */
function shouldWaitDespitePatience(
  request: RoutedRequest,
  responseMs: number,
  timeLeftMs: number,
  retryAfterMs: number,
): boolean {
  if (!request.isFirstAttempt) return true;
  const nextTimeLeftMs = timeLeftMs - retryAfterMs;
  const reachMs = retryAfterMs + Math.min(silenceTimeoutMs(request.route), nextTimeLeftMs);
  return responseMs * FORECAST_MARGIN > reachMs && responseMs < timeLeftMs;
}
