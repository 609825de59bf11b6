import type { PlacementState } from './placement-state.js';
import type { StoreRateLimit } from './store-rate-limit.js';
import type { PlannerInput } from './planner-settings.js';
import type { DemandTable } from './demand-table.js';
import type { RunnerInventory } from './runner-inventory.js';
import type { Moment } from '../common/ids.js';
import type { Engine, EngineModel, Routing } from '../route/routing.js';
import { ModelState, ServiceState, compareStrings, type RunnerState } from './planner-records.js';

/** Applies the operators' configuration to the state: services, their models, and evacuated zones. */
export class PlannerConfiguration {
  readonly #state: PlacementState;
  readonly #demand: DemandTable;
  readonly #inventory: RunnerInventory;
  readonly #storeRateLimit: StoreRateLimit;
  #evacuatedZonesKey = '';

  constructor(
    state: PlacementState,
    demand: DemandTable,
    inventory: RunnerInventory,
    store: StoreRateLimit,
  ) {
    this.#state = state;
    this.#demand = demand;
    this.#inventory = inventory;
    this.#storeRateLimit = store;
  }

  /** Applies what changed since the last plan. */
  apply(now: Moment, input: PlannerInput): void {
    if (input.routing !== this.#state.routing) this.#applyRouting(now, input.routing);
    this.#applyEvacuatedZones(now, input.evacuatedZones);
    if (input.proxies === this.#state.proxyCount) return;
    this.#state.proxyCount = input.proxies;
    this.#state.isFleetStale = true;
  }

  #applyRouting(now: Moment, routing: Routing | undefined): void {
    this.#state.routing = routing;
    const names = new Set<string>();
    for (const { name, engine } of routing?.services ?? []) {
      // The runners of a service without an engine load no models: there is nothing to place.
      if (!engine) continue;
      names.add(name);
      this.#applyEngine(this.#findOrCreateService(now, name, engine), engine);
    }
    for (const name of [...this.#state.services.keys()])
      if (!names.has(name)) this.#state.services.delete(name);
    // Runners whose service is new, or was removed, start over.
    for (const runner of [...this.#state.runners.values()])
      if (runner.serviceState !== this.#state.services.get(runner.service))
        this.#recreateRunner(now, runner);
    this.#state.isFleetStale = true;
  }

  #findOrCreateService(now: Moment, name: string, engine: Engine): ServiceState {
    const existing = this.#state.services.get(name);
    if (existing) return existing;
    const { capWindowMs, adapterMs } = this.#state.settings;
    const service = new ServiceState(name, engine, capWindowMs, adapterMs);
    this.#state.services.set(name, service);
    // An earlier leader may have started loads just before. How many is unknown: half of what the store's rate limit
    // allows within its window is assumed.
    const assumedLoads = this.#state.hasEarlierDocs
      ? Math.ceil(this.#storeRateLimit.windowBudget(service) / 2)
      : 0;
    for (let load = 0; load < assumedLoads; load += 1) service.storeLoadWindow.add(now);
    return service;
  }

  #applyEngine(service: ServiceState, engine: Engine): void {
    service.engine = engine;
    for (const model of engine.models) this.#applyModel(service, model);
    const listed = new Set(engine.models.map(nameOf));
    for (const model of service.models.values())
      if (!listed.has(model.name) && (model.isListed || model.holders.size === 0))
        this.#retireModel(service, model);
  }

  /** Replaces a runner's state after its service was added or removed, which makes the old state meaningless. */
  #recreateRunner(now: Moment, runner: RunnerState): void {
    for (const order of [...runner.queue]) this.#state.removeOrder(runner, order);
    for (const loadedModel of [...runner.holds.values()])
      this.#state.removeHold(runner, loadedModel);
    runner.serviceState?.runners.delete(runner);
    const replacement = this.#inventory.addRunner(now, runner.listed);
    this.#state.runnersNeedingReport.delete(runner);
    // A runner whose service was not configured got no orders from here, so its models are as certain as before. At any
    // other runner, orders that were removed above may still change its models: its report is needed first.
    replacement.areHoldsKnown = runner.areHoldsKnown && runner.serviceState === undefined;
    if (replacement.serviceState && !replacement.areHoldsKnown)
      this.#state.runnersNeedingReport.add(replacement);
    else this.#state.runnersNeedingReport.delete(replacement);
    replacement.coldUntil = runner.coldUntil;
  }

  /** Retires a model that the configuration no longer lists: its demand is dropped, so that it is evicted first. */
  #retireModel(service: ServiceState, model: ModelState): void {
    model.isListed = false;
    service.waitingModels.delete(model);
    this.#demand.forgetModel(model);
    if (model.holders.size === 0) service.models.delete(model.name);
  }

  #applyModel(service: ServiceState, model: EngineModel): void {
    const state = service.models.get(model.name) ?? new ModelState(service, model.name);
    state.isListed = true;
    state.sizeMb = model.sizeMb;
    state.loadMs = model.loadMs;
    state.adapterMb = model.adapterSizeMb;
    state.maxAdapters = model.adapters;
    service.models.set(model.name, state);
    // The sizes may have changed: the cached sums must be computed again.
    for (const runner of state.holders.keys()) runner.usedMb = undefined;
  }

  #applyEvacuatedZones(now: Moment, zones: readonly string[]): void {
    const key = [...zones].sort(compareStrings).join('\n');
    if (key === this.#evacuatedZonesKey) return;
    this.#evacuatedZonesKey = key;
    this.#state.evacuatedZones = new Set(zones);
    // All runners are checked, since any zone may have changed; only models without a replica in service count as lost.
    for (const runner of this.#state.runners.values()) {
      this.#state.noteLostReplicas(now, runner);
      this.#state.onRunnerAvailabilityChanged(runner);
    }
  }
}

function nameOf(model: EngineModel): string {
  return model.name;
}
