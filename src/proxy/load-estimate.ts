import type { Moment } from '../common/ids.js';
import type { EngineModel } from '../route/routing.js';
import type { LoadForecast } from './load-forecast.js';
import type { RoutedRequest } from './routed-request.js';
import type { RunnerPicker } from './runner-picker.js';

/** Expected load time of an adapter without a report from the leader. */
const ADAPTER_LOAD_MS = 80;
/** Without a report, a model is expected to load in its configured time, times this factor: loads are slower at busy runners. */
const BUSY_RUNNER_FACTOR = 1.5;
/** Time for the demand to reach the leader and its order to reach a runner. */
const ORDER_DELAY_MS = 200;
/** The minimum of an estimate: the report of a load that has just completed is on its way. */
const MIN_EXPECTED_MS = 40;

/** Estimates when the model and adapter that a request needs will be loaded. */
export class LoadEstimate {
  readonly #picker: RunnerPicker;
  readonly #forecast: LoadForecast;

  constructor(picker: RunnerPicker, forecast: LoadForecast) {
    this.#picker = picker;
    this.#forecast = forecast;
  }

  /**
   * Time until the load is expected to be complete, ms: by the leader's report, else by the configured load time. Undefined
   * if the service has no such model.
   */
  expectedMs(now: Moment, request: RoutedRequest): number | undefined {
    const { model, adapter } = request.head;
    const listed = request.service.engine?.models.find(({ name }) => name === model);
    if (!listed) return undefined;
    const expectedAt = this.#forecast.expectedAt(model, adapter);
    if (expectedAt !== undefined) return Math.max(MIN_EXPECTED_MS, expectedAt - now);
    return this.#usualMs(now, request, listed);
  }

  #usualMs(now: Moment, request: RoutedRequest, { loadMs }: EngineModel): number {
    if (this.#picker.isModelLoaded(now, request)) return ADAPTER_LOAD_MS;
    return loadMs * BUSY_RUNNER_FACTOR + ORDER_DELAY_MS;
  }
}
