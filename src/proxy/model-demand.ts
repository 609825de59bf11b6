import { later, moment, type Moment } from '../common/ids.js';
import type { FleetDemand } from '../placement/fleet.js';
import type { RoutedRequest } from './routed-request.js';

type ModelDemandReport = FleetDemand['units'][number];

/** What is asked for of one model with one adapter ('' for none) at one service. */
interface ModelDemandState {
  readonly service: string;
  readonly model: string;
  readonly adapter: string;
  /** Requests that came since the last report. */
  count: number;
  /** Requests that are at a runner. */
  running: number;
  readonly waiting: Set<RoutedRequest>;
  /** Requests that were refused, but are expected again until then, and the most urgent of them. */
  returnsExpectedUntil: Moment;
  expectedReturns: number;
  expectedPriority: number;
}

const NEVER = moment(-1e12);
const LOWEST_PRIORITY = 9;
/** A request that was refused is still expected for so long after its load is due. */
const RETURN_WINDOW_MS = 500;

/** What is asked for of each model and adapter, as the leader is told. Plain services have no units. */
export class ModelDemand {
  readonly #units = new Map<string, ModelDemandState>();
  #hasNewWaits = false;

  /** A request came. */
  onRequest(request: RoutedRequest): void {
    if (request.modelUnit !== '') this.#stateOf(request).count += 1;
  }

  /** It is given to a runner. */
  onAttemptStart(request: RoutedRequest): void {
    if (request.modelUnit !== '') this.#stateOf(request).running += 1;
  }

  /** It is at that runner no more. */
  onAttemptEnd(request: RoutedRequest): void {
    const unit = this.#units.get(request.modelUnit);
    if (unit) unit.running = Math.max(0, unit.running - 1);
  }

  /** It waits for a runner. */
  onWaitStart(request: RoutedRequest): void {
    if (request.modelUnit === '') return;
    const unit = this.#stateOf(request);
    if (unit.waiting.size === 0) this.#hasNewWaits = true;
    unit.waiting.add(request);
  }

  /** It waits no more. */
  onWaitEnd(request: RoutedRequest): void {
    if (request.modelUnit !== '') this.#units.get(request.modelUnit)?.waiting.delete(request);
  }

  /** No runner holds what it needs: where that is new the leader should hear of it at once. */
  onModelMissing(now: Moment, request: RoutedRequest): void {
    const unit = this.#stateOf(request);
    if (unit.returnsExpectedUntil < now && unit.waiting.size === 0) this.#hasNewWaits = true;
  }

  /** It is refused, but comes back once its load is due: what it needs is still wanted. */
  onReturnExpected(now: Moment, request: RoutedRequest, expectedMs: number): void {
    const unit = this.#stateOf(request);
    if (unit.returnsExpectedUntil < now) unit.expectedReturns = 0;
    unit.returnsExpectedUntil = later(now, expectedMs + RETURN_WINDOW_MS);
    unit.expectedReturns += 1;
    unit.expectedPriority = Math.min(unit.expectedPriority, request.route.priority);
  }

  /** Whether something new waits that the leader should hear of at once; told once. */
  takeUrgent(): boolean {
    const isUrgent = this.#hasNewWaits;
    this.#hasNewWaits = false;
    return isUrgent;
  }

  /** What is asked for now, and what came since the last report. */
  takeReports(now: Moment): ModelDemandReport[] {
    const reports: ModelDemandReport[] = [];
    for (const [key, unit] of this.#units) {
      const wanted = now < unit.returnsExpectedUntil ? unit.expectedReturns : 0;
      const waiting = unit.waiting.size + wanted;
      if (unit.count === 0 && waiting === 0 && unit.running === 0) {
        if (now > unit.returnsExpectedUntil) this.#units.delete(key);
        continue;
      }
      reports.push(reportOf(unit, waiting, wanted > 0));
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
      returnsExpectedUntil: NEVER,
      expectedReturns: 0,
      expectedPriority: LOWEST_PRIORITY,
    };
    this.#units.set(request.modelUnit, unit);
    return unit;
  }
}

function reportOf(unit: ModelDemandState, waiting: number, isWanted: boolean): ModelDemandReport {
  let priority = isWanted ? unit.expectedPriority : LOWEST_PRIORITY;
  for (const { route } of unit.waiting) priority = Math.min(priority, route.priority);
  const { service, model, adapter, count, running } = unit;
  return { service, model, adapter, count, waiting, running, priority };
}
