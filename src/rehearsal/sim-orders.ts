import { ACCEPT_WITHIN_MS } from '../control/order-sender.js';
import type { Catalog, Hold, Intent } from '../placement/shapes.js';
import type { BackRecord } from './records.js';
import type { Scheduler } from './scheduler.js';
import { bootOf, unitKey, type SimRunner } from './sim-runner.js';

/** An order as a runner saw it. */
export interface SeenOrder {
  readonly at: number;
  readonly holder: string;
  readonly epoch: number;
  readonly runner: string;
  readonly intent: Intent;
}

/** An order that a holder writes to a runner. */
export interface SimOrder {
  readonly holder: string;
  readonly epoch: number;
  readonly intent: Intent;
  /** When the runner gave its word to go on. */
  readonly continuedAt: number;
}

export type OrderOutcome = 'taken' | 'turnedAway' | 'unsure';

/** Runners as orders find them. */
export interface OrderedRunners {
  find(id: string): SimRunner | undefined;
  isAnswering(id: string): boolean;
  /** How many requests run at a runner for a model or adapter. */
  running(id: string, key: string): number;
}

/** Two holders may not order within this, ms. */
const HOLDERS_APART_MS = 3000;
/** Room that shrank, and a limit that was lowered, are known to nobody before they were asked about, ms. */
const ROOM_TOLD_MS = 2500;
const LIMIT_TOLD_MS = 7000;
/** How long a fetch takes, and how much longer for each unit of size, ms. */
const FETCH_MS = 300;
const FETCH_MS_PER_SIZE = 20;

/** Orders at simulated runners, carried out and watched: who orders when, room, and the weight store's limit. */
export class SimOrders {
  readonly #scheduler: Scheduler;
  readonly #records: BackRecord[];
  readonly #runners: OrderedRunners;
  #catalog: Catalog;
  #limitBefore: number;
  #limitSince = -1e9;
  #fetching = 0;
  readonly seen: SeenOrder[] = [];
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

  get catalog(): Catalog {
    return this.#catalog;
  }
  /** Fetches from the weight store under way. */
  get fetching(): number {
    return this.#fetching;
  }

  setLimit(limit: number): void {
    if (limit === this.#catalog.limit) return;
    this.#limitBefore = this.#catalog.limit;
    this.#limitSince = this.#scheduler.now;
    this.#catalog = { ...this.#catalog, limit };
  }

  /** A runner ends: its fetches under way end with it. */
  endFetches(runner: SimRunner): void {
    for (const hold of runner.holds.values()) if (hold.state === 'loading') this.#fetching -= 1;
  }

  /** Taken only within so long of the runner's word to go on. */
  order(order: SimOrder): OrderOutcome {
    const { intent, continuedAt } = order;
    const runner = this.#runners.find(intent.runner);
    if (!runner || !this.#runners.isAnswering(intent.runner)) return 'unsure';
    if (this.#scheduler.now - continuedAt > ACCEPT_WITHIN_MS) return 'turnedAway';
    this.#watchHolders(order);
    const used = usedWith(runner, intent);
    this.#record(order, this.#isOverRoom(runner, intent, used));
    if (intent.boot !== bootOf(runner)) return 'turnedAway';
    if (runner.taken.has(intent.id)) return 'taken';
    runner.taken.add(intent.id);
    return intent.verb === 'unload'
      ? this.#unload(runner, intent)
      : this.#load(runner, intent, used);
  }

  #watchHolders({ holder, epoch, intent }: SimOrder): void {
    const now = this.#scheduler.now;
    const last = this.seen[this.seen.length - 1];
    if (last && last.holder !== holder && now - last.at < HOLDERS_APART_MS) {
      const apart = Math.round(now - last.at);
      this.violations.push(
        `two-holders: ${last.holder} (${last.epoch}) and ${holder} (${epoch}) ordered ${apart} ms apart`,
      );
    }
    this.seen.push({ at: now, holder, epoch, runner: intent.runner, intent });
  }

  /** Whether a load is ordered that no holder could have taken to fit. */
  #isOverRoom(runner: SimRunner, intent: Intent, used: number): boolean {
    const key = unitKey(intent.model, intent.adapter);
    const isOld =
      intent.boot !== bootOf(runner) || runner.taken.has(intent.id) || runner.holds.has(key);
    const isFresh = this.#scheduler.now - runner.roomSince < ROOM_TOLD_MS;
    const room = isFresh ? Math.max(runner.room, runner.roomBefore) : runner.room;
    return intent.verb === 'load' && !isOld && used > room;
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
      FETCH_MS + size * FETCH_MS_PER_SIZE,
      this.#fetched.bind(this, runner, runner.back.boot, key, hold),
    );
    return 'taken';
  }

  #recordFetch({ runner, model, adapter }: Intent): void {
    const now = this.#scheduler.now;
    const isFresh = now - this.#limitSince < LIMIT_TOLD_MS;
    const limit = isFresh ? Math.max(this.#catalog.limit, this.#limitBefore) : this.#catalog.limit;
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

  #fetched(runner: SimRunner, boot: number, key: string, hold: Hold): void {
    if (runner.back.boot !== boot) return;
    this.#fetching -= 1;
    runner.holds.set(key, { ...hold, state: 'ready' });
  }
}

/** Room that is used once the order is carried out. */
function usedWith(runner: SimRunner, intent: Intent): number {
  let used = intent.size;
  for (const hold of runner.holds.values()) used += hold.size;
  return used;
}
