/** Runners for the planner's tests: they do orders, take time, and report what they held a while ago. */
import type { Engine } from '../../route/routing.js';
import type { RunnerStatus } from '../fleet.js';
import type { OrderOutcome } from '../planner.js';
import type { Intent } from '../shapes.js';

/** An order that a runner does now. */
export interface FakeOrder {
  verb: 'load' | 'unload';
  model: string;
  adapter: string;
  endsAt: number;
  isStore: boolean;
}

/** In what runners differ. */
export interface RunnerHabits {
  /** Runners count orders that they need not do. */
  readonly countsHeld?: boolean;
  /** Runners say of the very order under way that they are busy, not that it is taken. */
  readonly isStrict?: boolean;
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
  isDark = false;
  /** Streams in work, by model: an unload waits for them. */
  busyUntil = new Map<string, number>();
  past: { at: number; status: RunnerStatus }[] = [];
  constructor(id: string, zone: string, engine: Engine) {
    this.id = id;
    this.zone = zone;
    this.engine = engine;
  }

  /** What it answers to an order that gives it nothing to do; undefined where it begins the order. */
  outcomeWithoutWork(
    { verb, model, adapter, count }: Intent,
    fence: number,
    habits: RunnerHabits,
  ): OrderOutcome | undefined {
    if (fence < this.fence) return 'refused';
    this.fence = fence;
    if (count !== undefined && count !== this.orderCount) return 'busy';
    if (this.order) return this.#isUnderWay(verb, model, adapter, habits) ? 'taken' : 'busy';
    const adapters = this.holds.get(model);
    if (adapter !== '' && !adapters) return verb === 'unload' ? 'held' : 'refused';
    const isHeld = adapter === '' ? adapters !== undefined : adapters?.has(adapter) === true;
    if (isHeld !== (verb === 'load')) return undefined;
    if (habits.countsHeld) this.orderCount += 1;
    return 'held';
  }

  #isUnderWay(
    verb: Intent['verb'],
    model: string,
    adapter: string,
    { isStrict }: RunnerHabits,
  ): boolean {
    const { order } = this;
    const isSame = order?.verb === verb && order.model === model && order.adapter === adapter;
    return isSame && !isStrict;
  }

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

  adapterCount(): number {
    let count = this.order?.verb === 'load' && this.order.adapter !== '' ? 1 : 0;
    for (const adapters of this.holds.values()) count += adapters.size;
    return count;
  }

  serves(model: string, adapter: string): boolean {
    const adapters = this.holds.get(model);
    if (!adapters || this.isDark || (this.order?.verb === 'unload' && this.order.model === model))
      return false;
    return adapter === '' || adapters.has(adapter);
  }

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
    this.past.push({ at: now, status: this.status() });
    if (this.past.length > 250) this.past.splice(0, 50);
  }

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

  statusBefore(now: number, ms: number): RunnerStatus {
    let found = this.past[0]?.status ?? this.status();
    for (const { at, status } of this.past) if (at <= now - ms) found = status;
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

/** Random numbers by a seed. */
export class Dice {
  #state: number;
  constructor(seed: number) {
    this.#state = (seed * 2654435761) >>> 0 || 1;
  }
  next(): number {
    this.#state ^= this.#state << 13;
    this.#state >>>= 0;
    this.#state ^= this.#state >>> 17;
    this.#state ^= this.#state << 5;
    this.#state >>>= 0;
    return this.#state / 4294967296;
  }
  below(count: number): number {
    return Math.floor(this.next() * count);
  }
}

/** How long the configuration says that a load of the model takes, ms; 0 where the engine has no such model. */
export function loadMsOf(engine: Engine, name: string): number {
  return modelOf(engine, name)?.loadMs ?? 0;
}
