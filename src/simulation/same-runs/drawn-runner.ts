import type { ListedRunner, RunnerStatus } from '../../placement/fleet.js';
import type { OrderOutcome } from '../../placement/planner.js';
import type { Intent } from '../../placement/shapes.js';
import { ENGINE_SERVICE } from './drawn-routing.js';

/** How long orders take, ms. */
const LOAD_MS = 600;
const DISK_LOAD_MS = 390;
const ADAPTER_MS = 12;
const UNLOAD_MS = 40;

/** A runner of a service of many models, as orders and reports find it. It checks counts, but no room. */
export class DrawnRunner {
  readonly id: string;
  readonly zone: string;
  readonly slots: number;
  /** Whether an order that changes nothing is counted as well. */
  readonly #countsHeld: boolean;
  readonly #holds = new Map<string, Set<string>>();
  readonly #disk = new Set<string>();
  #order: Intent | undefined;
  #endsAt = 0;
  #orderCount = 0;
  isLeaving = false;
  /** It answers nobody. */
  isDark = false;
  /** Until then it counts as cold. */
  coldUntil = 0;

  constructor(id: string, zone: string, slots: number, countsHeld: boolean) {
    this.id = id;
    this.zone = zone;
    this.slots = slots;
    this.#countsHeld = countsHeld;
  }

  /** What it has from the beginning. */
  load(model: string): void {
    this.#holds.set(model, new Set());
    this.#disk.add(model);
  }

  /** Ends the order under way if it is due. */
  step(now: number): void {
    const order = this.#order;
    if (!order || now < this.#endsAt) return;
    this.#order = undefined;
    const { verb, model, adapter } = order;
    if (adapter !== '') {
      if (verb === 'load') this.#holds.get(model)?.add(adapter);
      else this.#holds.get(model)?.delete(adapter);
    } else if (verb === 'load') this.load(model);
    else this.#holds.delete(model);
  }

  serves(model: string, adapter: string): boolean {
    const adapters = this.#holds.get(model);
    if (!adapters || this.isDark) return false;
    return adapter === '' || adapters.has(adapter);
  }

  /** An order arrives: says what becomes of it. */
  take(now: number, intent: Intent): OrderOutcome {
    const { verb, model, adapter, count } = intent;
    if (count !== undefined && count !== this.#orderCount) return 'busy';
    const order = this.#order;
    if (order) return order.id === intent.id ? 'taken' : 'busy';
    const adapters = this.#holds.get(model);
    if (adapter !== '' && !adapters) return verb === 'unload' ? 'held' : 'refused';
    const isThere = adapter === '' ? adapters !== undefined : adapters?.has(adapter) === true;
    if (isThere === (verb === 'load')) {
      if (this.#countsHeld) this.#orderCount += 1;
      return 'held';
    }
    this.#orderCount += 1;
    this.#order = intent;
    this.#endsAt = now + this.#spanOf(intent);
    return 'taken';
  }

  status(): RunnerStatus {
    const isBusy = this.#order !== undefined;
    return { holds: this.#held(), isBusy, orderCount: this.#orderCount, waiting: 0, active: 0 };
  }

  listed(now: number): ListedRunner {
    const { id, zone, slots, isLeaving } = this;
    const place = { id, address: `${id}:80`, zone, service: ENGINE_SERVICE, slots };
    const coldMs = Math.max(0, this.coldUntil - now);
    return { ...place, isLeaving, remainingMs: undefined, coldMs, holds: this.#held() };
  }

  #spanOf({ verb, model, adapter }: Intent): number {
    if (verb === 'unload') return UNLOAD_MS;
    if (adapter !== '') return ADAPTER_MS;
    return this.#disk.has(model) ? DISK_LOAD_MS : LOAD_MS;
  }

  #held(): RunnerStatus['holds'] {
    const holds: { readonly model: string; readonly adapters: readonly string[] }[] = [];
    for (const [model, adapters] of this.#holds) holds.push({ model, adapters: [...adapters] });
    return holds;
  }
}
