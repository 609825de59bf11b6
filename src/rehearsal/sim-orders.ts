import { ACCEPT_WITHIN_MS } from '../control/order-sender.js';
import type { Catalog, Hold, Intent } from '../placement/shapes.js';
import type { BackRecord } from './records.js';
import type { Scheduler } from './scheduler.js';
import { bootOf, unitKey, type SimRunner } from './sim-runner.js';

/** An order as it arrived at a runner. */
export interface SeenOrder {
  readonly at: number;
  readonly holder: string;
  readonly epoch: number;
  readonly runner: string;
  readonly intent: Intent;
}

/** An order that a leader sends to a runner; `holder` is that leader. */
export interface SimOrder {
  readonly holder: string;
  readonly epoch: number;
  readonly intent: Intent;
  /** When the runner sent its `100 Continue`, virtual ms. */
  readonly continuedAt: number;
}

/** The result of an order at a runner. */
export type OrderOutcome = 'taken' | 'turnedAway' | 'unsure';

/** The runners that orders are sent to. */
export interface OrderedRunners {
  /** The runner with this id, also if it is down. */
  find(id: string): SimRunner | undefined;
  /** Whether the runner's process is up and not frozen, and its machine exists. */
  isAnswering(id: string): boolean;
  /** Number of requests that a runner is serving for a model or adapter. */
  running(id: string, key: string): number;
}

/** Minimum time between the orders of two successive leaders, ms. */
const LEADER_GAP_MS = 3000;
/** How long a leader may not yet know of a reduced capacity, or of a lowered limit, as it has to poll for them; ms. */
const ROOM_PROPAGATION_MS = 2500;
const LIMIT_PROPAGATION_MS = 7000;
/** The base duration of a fetch, and its extra duration per unit of size; ms. */
const FETCH_MS = 300;
const FETCH_MS_PER_SIZE_UNIT = 20;

/** Executes orders at simulated runners and checks them: leaders' order times, runners' capacity, the weight store's limit. */
export class SimOrders {
  readonly #scheduler: Scheduler;
  readonly #records: BackRecord[];
  readonly #runners: OrderedRunners;
  #catalog: Catalog;
  #limitBefore: number;
  #limitSince = -1e9;
  #fetching = 0;
  /** All orders that arrived, in order of time. */
  readonly seen: SeenOrder[] = [];
  /** Texts of violations, each after its rule's name and a colon. */
  readonly violations: string[] = [];

  constructor(
    scheduler: Scheduler,
    records: BackRecord[],
    runners: OrderedRunners,
    catalog: Catalog,
  ) {
    this.#scheduler = scheduler;
    this.#records = records;
    this.#runners = runners;
    this.#catalog = catalog;
    this.#limitBefore = catalog.limit;
  }

  /** The weight store's catalog, with its current limit of concurrent fetches. */
  get catalog(): Catalog {
    return this.#catalog;
  }
  /** Number of fetches from the weight store in progress. */
  get fetching(): number {
    return this.#fetching;
  }

  /** Changes the weight store's limit of concurrent fetches. */
  setLimit(limit: number): void {
    if (limit === this.#catalog.limit) return;
    this.#limitBefore = this.#catalog.limit;
    this.#limitSince = this.#scheduler.now;
    this.#catalog = { ...this.#catalog, limit };
  }

  /** Ends the fetches in progress of a runner that goes down. */
  endFetches(runner: SimRunner): void {
    for (const hold of runner.holds.values()) if (hold.state === 'loading') this.#fetching -= 1;
  }

  /** Executes an order on its arrival; rejects it if the runner's `100 Continue` is older than `ACCEPT_WITHIN_MS`. */
  order(order: SimOrder): OrderOutcome {
    const { intent, continuedAt } = order;
    const runner = this.#runners.find(intent.runner);
    if (!runner || !this.#runners.isAnswering(intent.runner)) return 'unsure';
    if (this.#scheduler.now - continuedAt > ACCEPT_WITHIN_MS) return 'turnedAway';
    this.#checkLeaders(order);
    const used = usedWith(runner, intent);
    this.#record(order, this.#isOverRoom(runner, intent, used));
    if (intent.boot !== bootOf(runner)) return 'turnedAway';
    if (runner.taken.has(intent.id)) return 'taken';
    runner.taken.add(intent.id);
    return intent.verb === 'unload'
      ? this.#unload(runner, intent)
      : this.#load(runner, intent, used);
  }

  #checkLeaders({ holder, epoch, intent }: SimOrder): void {
    const now = this.#scheduler.now;
    const last = this.seen[this.seen.length - 1];
    if (last && last.holder !== holder && now - last.at < LEADER_GAP_MS) {
      const gapMs = Math.round(now - last.at);
      this.violations.push(
        `two-holders: ${last.holder} (${last.epoch}) and ${holder} (${epoch}) ordered ${gapMs} ms apart`,
      );
    }
    this.seen.push({ at: now, holder, epoch, runner: intent.runner, intent });
  }

  /** Whether the order is a load that exceeds the capacity by any report that its leader can have relied on. */
  #isOverRoom(runner: SimRunner, intent: Intent, used: number): boolean {
    const key = unitKey(intent.model, intent.adapter);
    const isDuplicateOrStale =
      intent.boot !== bootOf(runner) || runner.taken.has(intent.id) || runner.holds.has(key);
    const isRecent = this.#scheduler.now - runner.roomSince < ROOM_PROPAGATION_MS;
    const room = isRecent ? Math.max(runner.room, runner.roomBefore) : runner.room;
    return intent.verb === 'load' && !isDuplicateOrStale && used > room;
  }

  #record({ holder, epoch, intent }: SimOrder, overRoom: boolean): void {
    const { runner, verb, model, adapter } = intent;
    this.#records.push({
      at: this.#scheduler.now,
      what: 'order',
      runner,
      order: intent.id,
      verb,
      model,
      adapter,
      holder,
      epoch,
      overRoom,
    });
  }

  #unload(runner: SimRunner, intent: Intent): OrderOutcome {
    const key = unitKey(intent.model, intent.adapter);
    const hold = runner.holds.get(key);
    if (hold && this.#runners.running(intent.runner, key) > 0)
      runner.holds.set(key, { ...hold, state: 'unloading' });
    else runner.holds.delete(key);
    return 'taken';
  }

  #load(runner: SimRunner, intent: Intent, used: number): OrderOutcome {
    const { model, adapter, size } = intent;
    const key = unitKey(model, adapter);
    if (runner.holds.has(key)) return 'taken';
    if (used > runner.room) return 'turnedAway';
    this.#fetching += 1;
    this.#recordFetch(intent);
    const hold: Hold = { model, adapter, size, state: 'loading', running: 0 };
    runner.holds.set(key, hold);
    this.#scheduler.after(
      FETCH_MS + size * FETCH_MS_PER_SIZE_UNIT,
      this.#finishFetch.bind(this, runner, runner.back.boot, key, hold),
    );
    return 'taken';
  }

  #recordFetch({ runner, model, adapter }: Intent): void {
    const now = this.#scheduler.now;
    const isRecent = now - this.#limitSince < LIMIT_PROPAGATION_MS;
    const limit = isRecent ? Math.max(this.#catalog.limit, this.#limitBefore) : this.#catalog.limit;
    this.#records.push({
      at: now,
      what: 'fetch',
      runner,
      model,
      adapter,
      running: this.#fetching,
      over: this.#fetching > limit,
    });
  }

  #finishFetch(runner: SimRunner, boot: number, key: string, hold: Hold): void {
    if (runner.back.boot !== boot) return;
    this.#fetching -= 1;
    runner.holds.set(key, { ...hold, state: 'ready' });
  }
}

/** Capacity in use once the order is executed. */
function usedWith(runner: SimRunner, intent: Intent): number {
  let used = intent.size;
  for (const hold of runner.holds.values()) used += hold.size;
  return used;
}
