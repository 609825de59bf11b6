import type { PlacementState } from './placement-state.js';
import type { Moment } from '../common/ids.js';
import type { FleetDemand } from './fleet.js';
import { AdapterState, type ModelState, type ServiceState } from './planner-records.js';

interface ReportedUnit {
  readonly model: ModelState;
  readonly adapter: string;
  waiting: number;
  running: number;
}

interface ProxyReport {
  receivedAt: number;
  units: ReportedUnit[];
}

/**
 * Aggregates the demand reports of the proxies: arrivals, running and waiting requests by model and adapter. A proxy's
 * report is replaced as a whole by its next one, and expires if none arrives.
 */
export class DemandTable {
  readonly #state: PlacementState;
  readonly #reports = new Map<string, ProxyReport>();

  constructor(state: PlacementState) {
    this.#state = state;
  }

  /** Removes the reports of all proxies. */
  clear(): void {
    this.#reports.clear();
  }

  /** Subtracts the reports of proxies that have not reported for `demandTtlMs`. */
  expire(now: Moment): void {
    for (const [flow, report] of this.#reports) {
      if (now - report.receivedAt <= this.#state.settings.demandTtlMs) continue;
      this.#subtract(report);
      this.#reports.delete(flow);
    }
  }

  /** A model was removed from the configuration: its part of the reports is no longer subtracted later. */
  forgetModel(model: ModelState): void {
    for (const report of this.#reports.values())
      report.units = report.units.filter((unit) => unit.model !== model);
  }

  /** Applies a proxy's report: arrivals since its previous report, and its current waiting and running requests. */
  onDemand(now: Moment, report: FleetDemand): void {
    const current = this.#reports.get(report.flow) ?? { receivedAt: now, units: [] };
    this.#subtract(current);
    current.receivedAt = now;
    current.units = [];
    this.#reports.set(report.flow, current);
    for (const unit of report.units) this.#addUnit(now, current, unit);
    for (const service of this.#state.services.values()) this.dropServedModels(service);
  }

  #addUnit(now: Moment, report: ProxyReport, unit: FleetDemand['units'][number]): void {
    const model = this.#state.services.get(unit.service)?.models.get(unit.model);
    if (!model?.isListed) return;
    const adapter =
      unit.adapter === '' ? undefined : this.#findOrCreateAdapter(now, model, unit.adapter);
    if (unit.count > 0 || unit.waiting > 0) {
      this.#onFirstDemand(now, model.service);
      model.lastRequestedAt = now;
      if (adapter) adapter.lastRequestedAt = now;
    }
    if (unit.count > 0) this.#addArrivals(now, model, adapter, unit.count);
    model.running += unit.running;
    if (adapter) adapter.running += unit.running;
    if (unit.waiting > 0) this.#addWaiting(now, model, adapter, unit.waiting, unit.priority ?? 0);
    if (unit.waiting > 0 || unit.running > 0)
      report.units.push({
        model,
        adapter: unit.adapter,
        waiting: unit.waiting,
        running: unit.running,
      });
  }

  /**
   * Before demand was observed for some time, the present replicas are the best evidence of it: this leader has no
   * observations yet, but the one that placed several replicas of a model had. One replica may be a spare; the need for
   * the others decays as usual.
   */
  #onFirstDemand(now: Moment, service: ServiceState): void {
    if (service.firstDemandAt !== undefined) return;
    service.firstDemandAt = now;
    for (const model of service.models.values()) {
      const replicas = this.#state.replicaCounts(now, model).all;
      if (replicas < 2) continue;
      model.neededReplicas = replicas - 1;
      model.needUpdatedAt = now;
      model.isBusy = replicas > 2;
      model.lastRequestedAt = now;
    }
  }

  #addArrivals(
    now: Moment,
    model: ModelState,
    adapter: AdapterState | undefined,
    count: number,
  ): void {
    const { fastMs, slowMs } = this.#state.settings;
    model.fastRate.add(now, count, fastMs);
    model.slowRate.add(now, count, slowMs);
    model.service.totalRate.add(now, count, fastMs);
    adapter?.slowRate.add(now, count, slowMs);
  }

  #addWaiting(
    now: Moment,
    model: ModelState,
    adapter: AdapterState | undefined,
    waiting: number,
    priority: number,
  ): void {
    if (!model.service.waitingModels.has(model)) {
      model.waitingSince = now;
      model.priority = 9;
    }
    model.service.waitingModels.add(model);
    model.waiting += waiting;
    model.waitingReportedAt = now;
    model.priority = Math.min(model.priority, priority);
    if (!adapter) return;
    if (adapter.waitingSince === 0) {
      adapter.waitingSince = now;
      adapter.priority = 9;
    }
    adapter.waiting += waiting;
    adapter.waitingReportedAt = now;
    adapter.priority = Math.min(adapter.priority, priority);
  }

  /** Subtracts a proxy's last report from the totals. */
  #subtract(report: ProxyReport): void {
    for (const unit of report.units) {
      const adapter = unit.adapter === '' ? undefined : unit.model.adapters.get(unit.adapter);
      unit.model.waiting -= unit.waiting;
      unit.model.running -= unit.running;
      if (!adapter) continue;
      adapter.waiting -= unit.waiting;
      adapter.running -= unit.running;
    }
  }

  /**
   * Removes models without waiting requests. Not done while a report is replaced, since the proxy's numbers are zero
   * for a moment then.
   */
  dropServedModels(service: ServiceState): void {
    for (const model of service.waitingModels) {
      for (const adapter of model.adapters.values())
        if (adapter.waiting <= 0) adapter.waitingSince = 0;
      if (model.waiting <= 0) service.waitingModels.delete(model);
    }
  }

  #findOrCreateAdapter(now: Moment, model: ModelState, name: string): AdapterState | undefined {
    const known = model.adapters.get(name);
    if (known) return known;
    // Clients choose the names freely: at most twice as many are stored as the model has adapters.
    if (model.maxAdapters === 0) return undefined;
    if (model.adapters.size >= model.maxAdapters * 2) {
      for (const [other, state] of model.adapters)
        if (now - state.lastRequestedAt > 60_000 && state.waiting <= 0 && state.running <= 0)
          model.adapters.delete(other);
      if (model.adapters.size >= model.maxAdapters * 2) return undefined;
    }
    const adapter = new AdapterState(name);
    model.adapters.set(name, adapter);
    return adapter;
  }
}
