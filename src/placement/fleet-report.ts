import type { PlacementState } from './placement-state.js';
import type { Moment } from '../common/ids.js';
import type { Fleet, FleetRunner, FleetWait } from './fleet.js';
import {
  type RunnerState,
  type ModelState,
  type ServiceState,
  compareStrings,
  emptyDoc,
} from './planner-records.js';

/**
 * Builds the fleet description for the data plane. It changes only on events, so that the passage of time alone
 * publishes no update.
 */
export class FleetReport {
  readonly #state: PlacementState;
  #fleet: Fleet = { flows: 0, runners: [], waits: [] };
  #reportedWaitKeys = '';
  /** What waits for a load in this plan; `dueAt`: when that load is expected to be complete, ms; 0 if unknown. */
  #waits: { model: ModelState; adapter: string; dueAt: number }[] = [];

  constructor(state: PlacementState) {
    this.#state = state;
  }

  /** Starts a plan: waits are collected anew in each. */
  beginPlan(): void {
    this.#waits = [];
  }

  /**
   * Records that requests wait for a model, or for one of its adapters if named, whose load has not been ordered yet.
   */
  addWait(now: Moment, service: ServiceState, model: ModelState, adapter: string): void {
    const waitsAhead = this.#waits.length;
    const perSecond = service.engine.loadsPerSecond;
    const delayMs =
      adapter !== '' && model.holders.size > 0
        ? service.adapterLoadMs * 4
        : perSecond > 0
          ? model.loadMs + ((waitsAhead + 1) * 1000) / perSecond
          : 0;
    this.#waits.push({ model, adapter, dueAt: delayMs > 0 ? now + delayMs : 0 });
    // Operators see a wait in the model's document. Only a long wait for the model itself, not for an adapter, is written
    // there: a short one is not worth storing the document again.
    if (
      adapter !== '' ||
      model.unservedSince === undefined ||
      now - model.unservedSince < this.#state.settings.waitReportIntervalMs
    )
      return;
    const doc = this.#state.docs.get(model.key) ?? emptyDoc(model.key);
    if (doc.wait === '') this.#state.put({ ...doc, wait: 'waits for a load' });
  }

  /**
   * Marks the fleet as stale if the set of waits has changed. New expected times of the same waits do not: they are
   * published with the next change of the fleet.
   */
  updateWaits(): void {
    const keys: string[] = [];
    for (const { model, adapter } of this.#waits) keys.push(`${model.key}\n${adapter}`);
    const waitKeys = keys.sort(compareStrings).join('\n');
    if (waitKeys === this.#reportedWaitKeys) return;
    this.#reportedWaitKeys = waitKeys;
    this.#state.isFleetStale = true;
  }

  /** The current fleet for the data plane; the same object until an event changes it. */
  fleet(now: Moment): Fleet {
    if (!this.#state.isFleetStale) return this.#fleet;
    this.#state.isFleetStale = false;
    const runners: FleetRunner[] = [];
    for (const runner of this.#state.runners.values()) runners.push(this.#fleetRunner(now, runner));
    const waits: FleetWait[] = [];
    for (const { model, adapter, dueAt } of this.#waits)
      waits.push({
        model: model.name,
        adapter,
        readyMs: dueAt === 0 ? 0 : roundedRemainingMs(now, dueAt),
      });
    this.#fleet = { flows: this.#state.proxyCount, runners, waits };
    return this.#fleet;
  }

  #fleetRunner(now: Moment, runner: RunnerState): FleetRunner {
    const { id, address, zone, service, slots } = runner.listed;
    const holds: { model: string; adapters: string[] }[] = [];
    const coming: { model: string; adapter: string; readyMs: number }[] = [];
    // Loads in progress are added to `coming` below, from the orders; a model that is being unloaded is not published.
    for (const loadedModel of runner.holds.values()) {
      if (loadedModel.phase !== 'ready') continue;
      const adapters: string[] = [];
      for (const [name, adapter] of loadedModel.adapters)
        if (adapter.phase === 'ready') adapters.push(name);
      holds.push({ model: loadedModel.model.name, adapters });
    }
    // After a failed order (until `suspectUntil`) the runner may be unreachable: when its loads complete is unknown, so
    // they are not published.
    let expectedDoneMs = 0;
    for (const order of runner.suspectUntil > now ? [] : runner.queue) {
      if (order.intent.verb === 'unload') continue;
      expectedDoneMs = order.isAccepted
        ? Math.max(0, order.dueAt - now)
        : expectedDoneMs + order.expectedMs;
      coming.push({
        model: order.intent.model,
        adapter: order.intent.adapter,
        readyMs: Math.max(50, Math.round(expectedDoneMs / 50) * 50),
      });
    }
    // Loads of models that an earlier leader intended, by its documents, may be running: when they complete is unknown,
    // so a remaining time is assumed.
    for (const { intent } of runner.restoredIntents) {
      if (intent.verb === 'load' && intent.adapter === '' && !runner.holds.has(intent.model))
        coming.push({ model: intent.model, adapter: '', readyMs: 500 });
    }
    return {
      id,
      address,
      zone,
      service,
      slots,
      isLeaving: runner.isLeaving,
      coldMs: runner.coldUntil > now ? roundedRemainingMs(now, runner.coldUntil) : 0,
      holds,
      coming,
    };
  }
}

function roundedRemainingMs(now: number, at: number): number {
  return Math.max(50, Math.round((at - now) / 50) * 50);
}
