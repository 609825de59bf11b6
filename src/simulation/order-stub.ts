import { later, moment, type Moment } from '../common/ids.js';
import type { Fleet, ListedRunner } from '../placement/fleet.js';
import type { Intent, ServiceDoc } from '../placement/shapes.js';
import type { FleetPlanner, OrderResult } from '../control/control-effect.js';

const NEVER = moment(-1e12);
/** Minimum time between two orders to one runner. */
const ORDER_INTERVAL_MS = 120;
/** Interval at which the placement in the shared state changes. */
const REWRITE_INTERVAL_MS = 900;
const EMPTY_FLEET: Fleet = { flows: 1, runners: [], waits: [] };

interface OrderedRunner {
  readonly id: string;
  /** The id of the order whose outcome is pending; '' if there is none. */
  openIntent: string;
  orderedAt: Moment;
}

/**
 * A planner that sends every runner an order whenever the lease allows it, so that two concurrent holders are always
 * detected, and that rewrites one partition of the placement periodically.
 */
export class OrderStub implements FleetPlanner {
  #runners: OrderedRunner[] = [];
  #orderIdPrefix = '';
  #orderCount = 0;
  #rewriteCount = 0;
  #rewrittenAt: Moment = NEVER;

  /** Takes over the placement of the shared state at the start of a leadership. */
  restore(now: Moment, docs: readonly ServiceDoc[], label: string): void {
    this.#orderIdPrefix = label;
    this.#rewrittenAt = now;
    const [doc] = docs;
    this.#rewriteCount = Number(doc?.wait ?? 0);
    for (const runner of this.#runners) runner.openIntent = '';
  }

  /** The placement as it is written to the shared state. */
  docs(): readonly ServiceDoc[] {
    const wait = String(this.#rewriteCount);
    return [{ model: 'm-0', primary: '', understudy: '', wait, intents: [] }];
  }

  /** Ignores demand. */
  onDemand(): void {
    /* Demand has no effect on who may send orders. */
  }

  /** Takes over the list of runners. */
  onRunnerList(_now: Moment, runners: readonly ListedRunner[]): void {
    const known = this.#runners;
    this.#runners = runners.map(
      ({ id }) =>
        known.find((runner) => runner.id === id) ?? { id, openIntent: '', orderedAt: NEVER },
    );
  }

  /** Ignores the status of runners. */
  onRunnerStatus(): void {
    /* No runner status is ever requested. */
  }

  /** Requests no reports. */
  takeDueReportRequests(): readonly string[] {
    return [];
  }

  /** Changes the placement if it is due; returns the names of the changed parts. */
  plan(now: Moment): readonly string[] {
    if (now < later(this.#rewrittenAt, REWRITE_INTERVAL_MS)) return [];
    this.#rewrittenAt = now;
    this.#rewriteCount += 1;
    return ['m-0'];
  }

  /** An order for each runner that has none pending and whose interval has passed. */
  takeDueOrders(now: Moment): readonly Intent[] {
    const intents: Intent[] = [];
    for (const runner of this.#runners) {
      if (runner.openIntent !== '' || now < later(runner.orderedAt, ORDER_INTERVAL_MS)) continue;
      this.#orderCount += 1;
      const id = `${this.#orderIdPrefix}.${this.#orderCount}`;
      runner.openIntent = id;
      runner.orderedAt = now;
      const order = { boot: '', verb: 'load', model: 'm-0', adapter: '', size: 1 } as const;
      intents.push({ id, runner: runner.id, ...order });
    }
    return intents;
  }

  /** Ignores that the placement was persisted. */
  markPersisted(): void {
    /* Orders of this planner do not wait until the placement is persisted. */
  }

  /** Allows the next order to the runner. */
  onOrderOutcome(_now: Moment, intentId: string, _outcome: OrderResult): void {
    for (const runner of this.#runners) {
      if (runner.openIntent === intentId) runner.openIntent = '';
    }
  }

  /** An empty fleet. */
  fleet(): Fleet {
    return EMPTY_FLEET;
  }

  /** Always `undefined`: no plan is scheduled in advance. */
  nextPlanAt(): Moment | undefined {
    return undefined;
  }
}
