import { later, moment, type Moment } from '../common/ids.js';
import type { FleetDemand } from '../placement/fleet.js';
import type { RoutedRequest } from './routed-request.js';

type ModelDemandReport = FleetDemand['units'][number];

/** Demand for one model with one adapter ('' for none) of one service. */
interface ModelDemandState {
  readonly service: string;
  readonly model: string;
  readonly adapter: string;
  /** Requests that arrived since the last report. */
  count: number;
  /** Requests that are at a runner. */
  running: number;
  readonly waiting: Set<RoutedRequest>;
  /** Until when clients of rejected requests are expected to retry, how many, and the most urgent priority among them. */
  retriesExpectedUntil: Moment;
  expectedRetries: number;
  expectedPriority: number;
}

const NEVER = moment(-1e12);
const LOWEST_PRIORITY = 9;
/** How long after the expected completion of a load the retry of a rejected request is still expected. */
const RETRY_WINDOW_MS = 500;

/** Demand by model and adapter, as reported to the leader. Requests to plain services are not counted. */
export class ModelDemand {
  readonly #units = new Map<string, ModelDemandState>();
  #hasNewWaits = false;

  /** A request arrived. */
  onRequest(request: RoutedRequest): void {
    if (request.modelUnit !== '') this.#stateOf(request).count += 1;
  }

  /** An attempt of the request at a runner has started. */
  onAttemptStart(request: RoutedRequest): void {
    if (request.modelUnit !== '') this.#stateOf(request).running += 1;
  }

  /** The attempt has ended. */
  onAttemptEnd(request: RoutedRequest): void {
    const unit = this.#units.get(request.modelUnit);
    if (unit) unit.running = Math.max(0, unit.running - 1);
  }

  /** The request has started to wait for a runner. */
  onWaitStart(request: RoutedRequest): void {
    if (request.modelUnit === '') return;
    const unit = this.#stateOf(request);
    if (unit.waiting.size === 0) this.#hasNewWaits = true;
    unit.waiting.add(request);
  }

  /** The request no longer waits. */
  onWaitEnd(request: RoutedRequest): void {
    if (request.modelUnit !== '') this.#units.get(request.modelUnit)?.waiting.delete(request);
  }

  /** No runner has the model or adapter that the request needs: urgent if no such request was known before. */
  onModelMissing(now: Moment, request: RoutedRequest): void {
    const unit = this.#stateOf(request);
    if (unit.retriesExpectedUntil < now && unit.waiting.size === 0) this.#hasNewWaits = true;
  }

  /** The request is rejected, but its client is expected to retry once the load completes, in `expectedMs`. */
  onClientRetryExpected(now: Moment, request: RoutedRequest, expectedMs: number): void {
    const unit = this.#stateOf(request);
    if (unit.retriesExpectedUntil < now) unit.expectedRetries = 0;
    unit.retriesExpectedUntil = later(now, expectedMs + RETRY_WINDOW_MS);
    unit.expectedRetries += 1;
    unit.expectedPriority = Math.min(unit.expectedPriority, request.route.priority);
  }

  /** Whether requests have started to wait, so that the leader should be notified at once; resets the flag. */
  takeUrgent(): boolean {
    const isUrgent = this.#hasNewWaits;
    this.#hasNewWaits = false;
    return isUrgent;
  }

  /** Returns the current demand and the arrivals since the last report, and resets the latter. */
  takeReports(now: Moment): ModelDemandReport[] {
    const reports: ModelDemandReport[] = [];
    for (const [key, unit] of this.#units) {
      const expectedRetries = now < unit.retriesExpectedUntil ? unit.expectedRetries : 0;
      const waiting = unit.waiting.size + expectedRetries;
      if (unit.count === 0 && waiting === 0 && unit.running === 0) {
        if (now > unit.retriesExpectedUntil) this.#units.delete(key);
        continue;
      }
      reports.push(reportOf(unit, waiting, expectedRetries > 0));
      unit.count = 0;
    }
    return reports;
  }

  #stateOf(request: RoutedRequest): ModelDemandState {
    const known = this.#units.get(request.modelUnit);
    if (known) return known;
    const unit: ModelDemandState = {
      service: request.service.name,
      model: request.head.model,
      adapter: request.head.adapter,
      count: 0,
      running: 0,
      waiting: new Set(),
      retriesExpectedUntil: NEVER,
      expectedRetries: 0,
      expectedPriority: LOWEST_PRIORITY,
    };
    this.#units.set(request.modelUnit, unit);
    return unit;
  }
}

function reportOf(
  unit: ModelDemandState,
  waiting: number,
  hasExpectedRetries: boolean,
): ModelDemandReport {
  let priority = hasExpectedRetries ? unit.expectedPriority : LOWEST_PRIORITY;
  for (const { route } of unit.waiting) priority = Math.min(priority, route.priority);
  const { service, model, adapter, count, running } = unit;
  return { service, model, adapter, count, waiting, running, priority };
}
