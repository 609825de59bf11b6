import type { PlacementState } from './placement-state.js';
import type { StoreRateLimit } from './store-rate-limit.js';
import type { PlannerInput } from './planner-settings.js';
import type { DemandTable } from './demand-table.js';
import type { RunnerInventory } from './runner-inventory.js';
import type { Moment } from '../common/ids.js';
import type { Engine, EngineModel, Routing } from '../route/routing.js';
import { ModelState, ServiceState, byText, type RunnerState } from './planner-records.js';

/** Takes in the operators' configuration: services, their models, and evacuated zones. */
export class PlannerConfiguration {
  readonly #state: PlacementState;
  readonly #demand: DemandTable;
  readonly #inventory: RunnerInventory;
  readonly #store: StoreRateLimit;
  #emptiedText = '';

  constructor(
    state: PlacementState,
    demand: DemandTable,
    inventory: RunnerInventory,
    store: StoreRateLimit,
  ) {
    this.#state = state;
    this.#demand = demand;
    this.#inventory = inventory;
    this.#store = store;
  }

  /** Takes in what changed since the last plan. */
  take(now: Moment, input: PlannerInput): void {
    if (input.routing !== this.#state.routing) this.#takeRouting(now, input.routing);
    this.#takeEmptied(now, input.evacuatedZones);
    if (input.proxies === this.#state.proxyCount) return;
    this.#state.proxyCount = input.proxies;
    this.#state.isFleetStale = true;
  }

  #takeRouting(now: Moment, routing: Routing | undefined): void {
    this.#state.routing = routing;
    const names = new Set<string>();
    for (const { name, engine } of routing?.services ?? []) {
      if (!engine) continue;
      names.add(name);
      this.#takeEngine(this.#serviceOf(now, name, engine), engine);
    }
    for (const name of [...this.#state.services.keys()])
      if (!names.has(name)) this.#state.services.delete(name);
    // Runners that were listed before their service was known are looked at again.
    for (const runner of [...this.#state.runners.values()])
      if (runner.engine !== this.#state.services.get(runner.service)) this.#renew(now, runner);
    this.#state.isFleetStale = true;
  }

  #serviceOf(now: Moment, name: string, engine: Engine): ServiceState {
    const known = this.#state.services.get(name);
    if (known) return known;
    const { capWindowMs, adapterMs } = this.#state.settings;
    const service = new ServiceState(name, engine, capWindowMs, adapterMs);
    this.#state.services.set(name, service);
    // An earlier leader may have used the ceiling just now.
    const used = this.#state.hasPast ? Math.ceil(this.#store.budget(service) / 2) : 0;
    for (let load = 0; load < used; load += 1) service.window.add(now);
    return service;
  }

  #takeEngine(service: ServiceState, engine: Engine): void {
    service.engine = engine;
    for (const model of engine.models) this.#takeModel(service, model);
    const listed = new Set(engine.models.map(nameOf));
    for (const model of service.models.values())
      if (!listed.has(model.name) && (model.isListed || model.holders.size === 0))
        this.#retire(service, model);
  }

  /** Its service is new, or gone: what was known of the runner is not of use any more. */
  #renew(now: Moment, runner: RunnerState): void {
    for (const op of [...runner.queue]) this.#state.removeOp(runner, op);
    for (const held of [...runner.holds.values()]) this.#state.unhold(runner, held);
    runner.engine?.runners.delete(runner);
    const anew = this.#inventory.newRunner(now, runner.listed);
    this.#state.suspected.delete(runner);
    anew.isKnown = runner.isKnown && runner.engine === undefined;
    if (anew.engine && !anew.isKnown) this.#state.suspected.add(anew);
    else this.#state.suspected.delete(anew);
    anew.coldUntil = runner.coldUntil;
  }

  /** What the configuration no longer names is asked for no more, and goes first where somebody still holds it. */
  #retire(service: ServiceState, model: ModelState): void {
    model.isListed = false;
    service.waiting.delete(model);
    this.#demand.forgetModel(model);
    if (model.holders.size === 0) service.models.delete(model.name);
  }

  #takeModel(service: ServiceState, model: EngineModel): void {
    const state = service.models.get(model.name) ?? new ModelState(service, model.name);
    state.isListed = true;
    state.sizeMb = model.sizeMb;
    state.loadMs = model.loadMs;
    state.adapterMb = model.adapterSizeMb;
    state.mostAdapters = model.adapters;
    service.models.set(model.name, state);
    for (const runner of state.holders.keys()) runner.usedMb = undefined;
  }

  #takeEmptied(now: Moment, emptied: readonly string[]): void {
    const text = [...emptied].sort(byText).join('\n');
    if (text === this.#emptiedText) return;
    this.#emptiedText = text;
    this.#state.evacuatedZones = new Set(emptied);
    for (const runner of this.#state.runners.values()) {
      this.#state.noteLost(now, runner);
      this.#state.touchAll(runner);
    }
  }
}

function nameOf(model: EngineModel): string {
  return model.name;
}
