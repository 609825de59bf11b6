import { later, moment, type Moment } from '../common/ids.js';
import type { Fleet, ListedRunner } from '../placement/fleet.js';
import type { Intent, ServiceDoc } from '../placement/shapes.js';
import type { FleetPlanner, OrderResult } from '../control/control-effect.js';

const NEVER = moment(-1e12);
/** A runner is given its next order so long after the last. */
const ORDER_INTERVAL_MS = 120;
/** How often the placement that is written to the shared state changes. */
const REWRITE_INTERVAL_MS = 900;
const EMPTY_FLEET: Fleet = { flows: 1, runners: [], waits: [] };

interface OrderedRunner {
  readonly id: string;
  /** The order whose outcome is open; '' for none. */
  openIntent: string;
  orderedAt: Moment;
}

/**
 * A planner that gives every runner an order as often as the lease lets it, so that two holders at
 * one time cannot stay hidden, and that rewrites one part of the placement again and again.
 */
export class OrderStub implements FleetPlanner {
  #runners: OrderedRunner[] = [];
  #orderIdPrefix = '';
  #orderCount = 0;
  #rewriteCount = 0;
  #rewrittenAt: Moment = NEVER;

  restore(now: Moment, docs: readonly ServiceDoc[], label: string): void {
    this.#orderIdPrefix = label;
    this.#rewrittenAt = now;
    const [doc] = docs;
    this.#rewriteCount = Number(doc?.wait ?? 0);
    for (const runner of this.#runners) runner.openIntent = '';
  }

  docs(): readonly ServiceDoc[] {
    const wait = String(this.#rewriteCount);
    return [{ model: 'm-0', primary: '', understudy: '', wait, intents: [] }];
  }

  onDemand(): void {
    /* Demand has no part in who may order. */
  }

  onRunnerList(_now: Moment, runners: readonly ListedRunner[]): void {
    const known = this.#runners;
    this.#runners = runners.map(
      ({ id }) =>
        known.find((runner) => runner.id === id) ?? { id, openIntent: '', orderedAt: NEVER },
    );
  }

  onRunnerStatus(): void {
    /* Never asked for. */
  }

  takeDueReportRequests(): readonly string[] {
    return [];
  }

  plan(now: Moment): readonly string[] {
    if (now < later(this.#rewrittenAt, REWRITE_INTERVAL_MS)) return [];
    this.#rewrittenAt = now;
    this.#rewriteCount += 1;
    return ['m-0'];
  }

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

  markPersisted(): void {
    /* Orders here do not wait for being written down. */
  }

  onOrderOutcome(_now: Moment, intentId: string, _outcome: OrderResult): void {
    for (const runner of this.#runners) {
      if (runner.openIntent === intentId) runner.openIntent = '';
    }
  }

  fleet(): Fleet {
    return EMPTY_FLEET;
  }

  nextPlanAt(): Moment | undefined {
    return undefined;
  }
}
