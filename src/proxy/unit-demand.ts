import { later, moment, type Moment } from '../common/ids.js';
import type { FleetDemand } from '../placement/fleet.js';
import type { RoutedRequest } from './routed-request.js';

type UnitReport = FleetDemand['units'][number];

/** What is asked for of one model with one adapter ('' for none) at one service. */
interface Unit {
  readonly service: string;
  readonly model: string;
  readonly adapter: string;
  /** Requests that came since the last report. */
  count: number;
  /** Requests that are at a runner. */
  running: number;
  readonly waiting: Set<RoutedRequest>;
  /** Requests that were refused, but are expected again until then, and the most urgent of them. */
  wantedUntil: Moment;
  wantedCount: number;
  wantedPriority: number;
}

const NEVER = moment(-1e12);
const LEAST_PRIORITY = 9;
/** A request that was refused is still expected for so long after its load is due. */
const COMES_BACK_MS = 500;

/** What is asked for of each model and adapter, as the leader is told. Plain services have no units. */
export class UnitDemand {
  readonly #units = new Map<string, Unit>();
  #hasNewWaits = false;

  /** A request came. */
  add(request: RoutedRequest): void {
    if (request.unit !== '') this.#unit(request).count += 1;
  }

  /** It is given to a runner. */
  start(request: RoutedRequest): void {
    if (request.unit !== '') this.#unit(request).running += 1;
  }

  /** It is at that runner no more. */
  stop(request: RoutedRequest): void {
    const unit = this.#units.get(request.unit);
    if (unit) unit.running = Math.max(0, unit.running - 1);
  }

  /** It waits for a runner. */
  wait(request: RoutedRequest): void {
    if (request.unit === '') return;
    const unit = this.#unit(request);
    if (unit.waiting.size === 0) this.#hasNewWaits = true;
    unit.waiting.add(request);
  }

  /** It waits no more. */
  leave(request: RoutedRequest): void {
    if (request.unit !== '') this.#units.get(request.unit)?.waiting.delete(request);
  }

  /** No runner holds what it needs: where that is new the leader should hear of it at once. */
  miss(now: Moment, request: RoutedRequest): void {
    const unit = this.#unit(request);
    if (unit.wantedUntil < now && unit.waiting.size === 0) this.#hasNewWaits = true;
  }

  /** It is refused, but comes back once its load is due: what it needs is still wanted. */
  want(now: Moment, request: RoutedRequest, dueMs: number): void {
    const unit = this.#unit(request);
    if (unit.wantedUntil < now) unit.wantedCount = 0;
    unit.wantedUntil = later(now, dueMs + COMES_BACK_MS);
    unit.wantedCount += 1;
    unit.wantedPriority = Math.min(unit.wantedPriority, request.route.priority);
  }

  /** Whether something new waits that the leader should hear of at once; told once. */
  takeUrgent(): boolean {
    const isUrgent = this.#hasNewWaits;
    this.#hasNewWaits = false;
    return isUrgent;
  }

  /** What is asked for now, and what came since the last report. */
  report(now: Moment): UnitReport[] {
    const reports: UnitReport[] = [];
    for (const [key, unit] of this.#units) {
      const wanted = now < unit.wantedUntil ? unit.wantedCount : 0;
      const waiting = unit.waiting.size + wanted;
      if (unit.count === 0 && waiting === 0 && unit.running === 0) {
        if (now > unit.wantedUntil) this.#units.delete(key);
        continue;
      }
      reports.push(reportOf(unit, waiting, wanted > 0));
      unit.count = 0;
    }
    return reports;
  }

  #unit(request: RoutedRequest): Unit {
    const known = this.#units.get(request.unit);
    if (known) return known;
    const unit: Unit = {
      service: request.service.name,
      model: request.head.model,
      adapter: request.head.adapter,
      count: 0,
      running: 0,
      waiting: new Set(),
      wantedUntil: NEVER,
      wantedCount: 0,
      wantedPriority: LEAST_PRIORITY,
    };
    this.#units.set(request.unit, unit);
    return unit;
  }
}

function reportOf(unit: Unit, waiting: number, isWanted: boolean): UnitReport {
  let priority = isWanted ? unit.wantedPriority : LEAST_PRIORITY;
  for (const { route } of unit.waiting) priority = Math.min(priority, route.priority);
  const { service, model, adapter, count, running } = unit;
  return { service, model, adapter, count, waiting, running, priority };
}
