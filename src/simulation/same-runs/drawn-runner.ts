import type { ListedRunner, RunnerStatus } from '../../placement/fleet.js';
import type { OrderOutcome } from '../../placement/planner.js';
import type { Intent } from '../../placement/shapes.js';
import { ENGINE_SERVICE } from './drawn-routing.js';

/** Durations of orders. */
const LOAD_MS = 600;
const DISK_LOAD_MS = 390;
const ADAPTER_MS = 12;
const UNLOAD_MS = 40;

/** A simulated runner of a service with many models. It checks the order count of an order, but not memory capacity. */
export class DrawnRunner {
  readonly id: string;
  readonly zone: string;
  readonly slots: number;
  /** Whether the order count also includes orders that change nothing. */
  readonly #countsNoOps: boolean;
  readonly #holds = new Map<string, Set<string>>();
  readonly #onDisk = new Set<string>();
  #order: Intent | undefined;
  #endsAt = 0;
  #orderCount = 0;
  /** Whether the runner is draining. */
  isLeaving = false;
  /** Whether the runner answers no calls. */
  isUnreachable = false;
  /** The time until which the runner counts as cold, ms. */
  coldUntil = 0;

  constructor(id: string, zone: string, slots: number, countsNoOps: boolean) {
    this.id = id;
    this.zone = zone;
    this.slots = slots;
    this.#countsNoOps = countsNoOps;
  }

  /** Adds a model to memory and disk. */
  addModel(model: string): void {
    this.#holds.set(model, new Set());
    this.#onDisk.add(model);
  }

  /** Completes the current order if it is due. */
  advance(now: number): void {
    const order = this.#order;
    if (!order || now < this.#endsAt) return;
    this.#order = undefined;
    const { verb, model, adapter } = order;
    if (adapter !== '') {
      if (verb === 'load') this.#holds.get(model)?.add(adapter);
      else this.#holds.get(model)?.delete(adapter);
    } else if (verb === 'load') this.addModel(model);
    else this.#holds.delete(model);
  }

  /** Whether the runner can serve requests for a model or one of its adapters. */
  serves(model: string, adapter: string): boolean {
    const adapters = this.#holds.get(model);
    if (!adapters || this.isUnreachable) return false;
    return adapter === '' || adapters.has(adapter);
  }

  /** Handles an order that arrives and returns its outcome. */
  receiveOrder(now: number, intent: Intent): OrderOutcome {
    const { verb, model, adapter, count } = intent;
    if (count !== undefined && count !== this.#orderCount) return 'busy';
    const order = this.#order;
    if (order) return order.id === intent.id ? 'taken' : 'busy';
    const adapters = this.#holds.get(model);
    if (adapter !== '' && !adapters) return verb === 'unload' ? 'held' : 'refused';
    const isThere = adapter === '' ? adapters !== undefined : adapters?.has(adapter) === true;
    if (isThere === (verb === 'load')) {
      if (this.#countsNoOps) this.#orderCount += 1;
      return 'held';
    }
    this.#orderCount += 1;
    this.#order = intent;
    this.#endsAt = now + this.#durationMs(intent);
    return 'taken';
  }

  /** Returns the status that the runner reports. */
  status(): RunnerStatus {
    const isBusy = this.#order !== undefined;
    return { holds: this.#holdings(), isBusy, orderCount: this.#orderCount, waiting: 0, active: 0 };
  }

  /** Returns the entry of the runner in the platform's list. */
  listed(now: number): ListedRunner {
    const { id, zone, slots, isLeaving } = this;
    const identity = { id, address: `${id}:80`, zone, service: ENGINE_SERVICE, slots };
    const coldMs = Math.max(0, this.coldUntil - now);
    return { ...identity, isLeaving, remainingMs: undefined, coldMs, holds: this.#holdings() };
  }

  #durationMs({ verb, model, adapter }: Intent): number {
    if (verb === 'unload') return UNLOAD_MS;
    if (adapter !== '') return ADAPTER_MS;
    return this.#onDisk.has(model) ? DISK_LOAD_MS : LOAD_MS;
  }

  #holdings(): RunnerStatus['holds'] {
    const holds: { readonly model: string; readonly adapters: readonly string[] }[] = [];
    for (const [model, adapters] of this.#holds) holds.push({ model, adapters: [...adapters] });
    return holds;
  }
}
