/**
 * Fake runners for the planner's tests: they execute orders in virtual time, and report their state of some time ago.
 */
import type { Engine } from '../../route/routing.js';
import type { RunnerStatus } from '../fleet.js';
import type { OrderOutcome } from '../planner.js';
import type { Intent } from '../shapes.js';

/** The order that a runner is executing. */
export interface FakeOrder {
  verb: 'load' | 'unload';
  model: string;
  adapter: string;
  endsAt: number;
  isStoreLoad: boolean;
}

/** Variations in the behavior of runners. */
export interface RunnerBehavior {
  /** Runners also count orders without effect. */
  readonly countsNoopOrders?: boolean;
  /** Runners answer a repetition of the running order with `busy` instead of `taken`. */
  readonly repliesBusyToSameOrder?: boolean;
}

/** A runner on virtual time. */
export class FakeRunner {
  readonly id: string;
  readonly zone: string;
  readonly engine: Engine;
  readonly holds = new Map<string, Set<string>>();
  readonly disk = new Set<string>();
  order: FakeOrder | undefined;
  orderCount = 0;
  fence = 0;
  isLeaving = false;
  isUnreachable = false;
  /** When the running requests of each model end, ms: an unload waits for them. */
  busyUntil = new Map<string, number>();
  statusHistory: { at: number; status: RunnerStatus }[] = [];
  constructor(id: string, zone: string, engine: Engine) {
    this.id = id;
    this.zone = zone;
    this.engine = engine;
  }

  /** The reply to an order that the runner does not start executing; undefined if it starts it. */
  replyWithoutExecution(
    { verb, model, adapter, count }: Intent,
    fence: number,
    behavior: RunnerBehavior,
  ): OrderOutcome | undefined {
    if (fence < this.fence) return 'refused';
    this.fence = fence;
    if (count !== undefined && count !== this.orderCount) return 'busy';
    if (this.order) return this.#isExecuting(verb, model, adapter, behavior) ? 'taken' : 'busy';
    const adapters = this.holds.get(model);
    if (adapter !== '' && !adapters) return verb === 'unload' ? 'held' : 'refused';
    const isHeld = adapter === '' ? adapters !== undefined : adapters?.has(adapter) === true;
    if (isHeld !== (verb === 'load')) return undefined;
    if (behavior.countsNoopOrders) this.orderCount += 1;
    return 'held';
  }

  #isExecuting(
    verb: Intent['verb'],
    model: string,
    adapter: string,
    { repliesBusyToSameOrder: repliesBusy }: RunnerBehavior,
  ): boolean {
    const { order } = this;
    const isSame = order?.verb === verb && order.model === model && order.adapter === adapter;
    return isSame && !repliesBusy;
  }

  /** Memory used by loaded models and adapters, and by a running load, MB. */
  usedMb(): number {
    let mb = 0;
    for (const [model, adapters] of this.holds)
      mb += sizeOf(this.engine, model) + adapters.size * adapterSizeOf(this.engine, model);
    if (this.order?.verb === 'load')
      mb +=
        this.order.adapter === ''
          ? sizeOf(this.engine, this.order.model)
          : adapterSizeOf(this.engine, this.order.model);
    return mb;
  }

  /** The number of adapters loaded or being loaded. */
  adapterCount(): number {
    let count = this.order?.verb === 'load' && this.order.adapter !== '' ? 1 : 0;
    for (const adapters of this.holds.values()) count += adapters.size;
    return count;
  }

  /** Whether requests for a model, or for one of its adapters, can be served. */
  serves(model: string, adapter: string): boolean {
    const adapters = this.holds.get(model);
    if (
      !adapters ||
      this.isUnreachable ||
      (this.order?.verb === 'unload' && this.order.model === model)
    )
      return false;
    return adapter === '' || adapters.has(adapter);
  }

  /** Completes an order that is due, and records the status. */
  step(now: number): void {
    const order = this.order;
    if (order && order.endsAt <= now) {
      this.order = undefined;
      if (order.verb === 'load') {
        if (order.adapter === '') {
          this.holds.set(order.model, new Set());
          this.disk.add(order.model);
        } else this.holds.get(order.model)?.add(order.adapter);
      } else if (order.adapter === '') this.holds.delete(order.model);
      else this.holds.get(order.model)?.delete(order.adapter);
    }
    this.statusHistory.push({ at: now, status: this.status() });
    if (this.statusHistory.length > 250) this.statusHistory.splice(0, 50);
  }

  /** The present status. */
  status(): RunnerStatus {
    const holds: { model: string; adapters: string[] }[] = [];
    for (const [model, adapters] of this.holds) holds.push({ model, adapters: [...adapters] });
    return {
      holds,
      isBusy: this.order !== undefined,
      orderCount: this.orderCount,
      waiting: 0,
      active: 0,
    };
  }

  /** The status of `ms` before `now`. */
  statusBefore(now: number, ms: number): RunnerStatus {
    let found = this.statusHistory[0]?.status ?? this.status();
    for (const { at, status } of this.statusHistory) if (at <= now - ms) found = status;
    return found;
  }
}

function modelOf(engine: Engine, name: string): Engine['models'][number] | undefined {
  for (const model of engine.models) if (model.name === name) return model;
  return undefined;
}

function sizeOf(engine: Engine, name: string): number {
  return modelOf(engine, name)?.sizeMb ?? 0;
}

function adapterSizeOf(engine: Engine, name: string): number {
  return modelOf(engine, name)?.adapterSizeMb ?? 0;
}

/** Seeded random numbers (xorshift). */
export class XorShiftRandom {
  #state: number;
  constructor(seed: number) {
    this.#state = (seed * 2654435761) >>> 0 || 1;
  }
  /** A number from 0 up to, but not including, 1. */
  next(): number {
    this.#state ^= this.#state << 13;
    this.#state >>>= 0;
    this.#state ^= this.#state >>> 17;
    this.#state ^= this.#state << 5;
    this.#state >>>= 0;
    return this.#state / 4294967296;
  }
  /** An integer from 0 up to, but not including, `count`. */
  below(count: number): number {
    return Math.floor(this.next() * count);
  }
}

/** The configured load time of a model, ms; 0 if the engine has no such model. */
export function loadMsOf(engine: Engine, name: string): number {
  return modelOf(engine, name)?.loadMs ?? 0;
}
