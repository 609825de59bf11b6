import type { PlacementState } from './placement-state.js';
import type { Moment } from '../common/ids.js';
import type { ListedRunner, RunnerStatus } from './fleet.js';
import { type RunnerState, ModelState, type ServiceState } from './planner-records.js';

/**
 * Tracks the runners and the models they hold, from the platform's list and the runners' own reports. The models in
 * either are used only if they were certainly collected after the last order to that runner had ended.
 */
export class RunnerInventory {
  readonly #state: PlacementState;
  /** Consecutive runners whose order count contradicts `countsNoopOrders`. */
  #contradictingReports = 0;

  constructor(state: PlacementState) {
    this.#state = state;
  }

  /**
   * Applies the platform's list: the runners on it at once, their models only if no order can have changed them since
   * the list was made.
   */
  onRunnerList(now: Moment, runners: readonly ListedRunner[]): void {
    const safelyMadeAt = now - this.#state.settings.lagMs - this.#state.settings.lagSlackMs;
    const seen = new Set<string>();
    for (const listed of runners) {
      seen.add(listed.id);
      let runner = this.#state.runners.get(listed.id);
      if (!runner) {
        runner = this.addRunner(now, listed);
        this.#state.isFleetStale = true;
      } else {
        const previous = runner.listed;
        runner.listed = listed;
        if (
          previous.address !== listed.address ||
          previous.zone !== listed.zone ||
          previous.slots !== listed.slots
        )
          this.#state.isFleetStale = true;
        // The list has no order count, so an uncertain runner gets no orders until its own report has arrived.
        if (runner.queue.length === 0 && runner.idleSince < safelyMadeAt)
          this.#applyHolds(now, runner, listed.holds);
      }
      if (runner.isLeaving !== listed.isLeaving) {
        runner.isLeaving = listed.isLeaving;
        this.#state.noteLostReplicas(now, runner);
        this.#state.onRunnerAvailabilityChanged(runner);
      }
      const coldUntil = listed.coldMs > 0 ? now + listed.coldMs : 0;
      if (Math.abs(coldUntil - runner.coldUntil) > 300) {
        runner.coldUntil = coldUntil;
        this.#state.isFleetStale = true;
      }
    }
    for (const runner of this.#state.runners.values())
      if (!seen.has(runner.id)) this.#removeRunner(now, runner);
    // A runner in an earlier leader's intents that is not on the list is gone with everything it held.
    for (const id of [...this.#state.restoredIntents.keys()])
      if (!seen.has(id)) this.#state.dropRestoredIntents(id);
    this.#state.hasRunnerList = true;
  }

  /** Adds a runner from the list. */
  addRunner(now: Moment, listed: ListedRunner): RunnerState {
    const engine = this.#state.services.get(listed.service);
    const runner: RunnerState = {
      id: listed.id,
      service: listed.service,
      serviceState: engine,
      listed,
      isLeaving: listed.isLeaving,
      coldUntil: 0,
      holds: new Map(),
      modelsOnDisk: new Set(),
      queue: [],
      sentOrder: undefined,
      areHoldsKnown: false,
      reportDueAt: now,
      isReportRequested: false,
      idleSince: this.#state.restoredAt,
      unloadedAt: -Infinity,
      isUnloadDraining: false,
      orderCount: undefined,
      noopOrderCount: 0,
      lastOrderCount: undefined,
      hasUnansweredOrder: false,
      suspectUntil: -Infinity,
      failures: 0,
      usedMb: undefined,
      restoredIntents: this.#state.restoredIntents.get(listed.id) ?? [],
    };
    this.#state.runners.set(runner.id, runner);
    // A runner that appears after the first list has received no orders yet; nor has any runner if no document was
    // stored.
    if (
      (this.#state.hasRunnerList || !this.#state.hasEarlierDocs) &&
      runner.restoredIntents.length === 0
    ) {
      runner.areHoldsKnown = true;
      runner.orderCount = 0;
    }
    if (!engine) return runner;
    engine.runners.add(runner);
    if (!runner.areHoldsKnown) this.#state.runnersNeedingReport.add(runner);
    this.#applyHolds(now, runner, listed.holds);
    return runner;
  }

  /** Replaces the models of a runner by those of a list or report; only called while it has no open orders. */
  #applyHolds(now: Moment, runner: RunnerState, holds: ListedRunner['holds']): void {
    const engine = runner.serviceState;
    if (!engine) return;
    const reportedModels = new Set<string>();
    for (const hold of holds) {
      reportedModels.add(hold.model);
      const model = engine.models.get(hold.model) ?? this.#addUnknownModel(engine, hold.model);
      let loadedModel = runner.holds.get(hold.model);
      if (!loadedModel) {
        loadedModel = {
          model,
          phase: 'ready',
          since: now - this.#state.settings.minResidencyMs,
          adapters: new Map(),
          suspectedUntil: -Infinity,
        };
        runner.holds.set(hold.model, loadedModel);
        model.holders.set(runner, loadedModel);
        this.#state.onHoldChanged(runner, model);
      } else if (loadedModel.phase !== 'ready') {
        loadedModel.phase = 'ready';
        loadedModel.since = now;
        this.#state.onHoldChanged(runner, model);
      }
      runner.modelsOnDisk.add(hold.model);
      const adapterNames = new Set(hold.adapters);
      for (const name of hold.adapters) {
        if (loadedModel.adapters.get(name)?.phase === 'ready') continue;
        loadedModel.adapters.set(name, {
          phase: 'ready',
          since: now - this.#state.settings.adapterStayMs,
          suspectedUntil: -Infinity,
        });
        this.#state.onHoldChanged(runner, model);
      }
      for (const name of [...loadedModel.adapters.keys()])
        if (!adapterNames.has(name)) {
          loadedModel.adapters.delete(name);
          this.#state.onHoldChanged(runner, model);
        }
    }
    for (const loadedModel of [...runner.holds.values()])
      if (!reportedModels.has(loadedModel.model.name)) this.#state.removeHold(runner, loadedModel);
  }

  /** Adds a model that the configuration does not list; it may be as large as the largest one listed. */
  #addUnknownModel(service: ServiceState, name: string): ModelState {
    const model = new ModelState(service, name);
    for (const other of service.engine.models) model.sizeMb = Math.max(model.sizeMb, other.sizeMb);
    service.models.set(name, model);
    return model;
  }

  #removeRunner(now: Moment, runner: RunnerState): void {
    for (const loadedModel of runner.holds.values())
      if (loadedModel.phase === 'ready' && loadedModel.model.holders.size === 1)
        loadedModel.model.lastReplicaLostAt = now;
    for (const order of [...runner.queue]) this.#state.removeOrder(runner, order);
    for (const loadedModel of [...runner.holds.values()])
      this.#state.removeHold(runner, loadedModel);
    this.#state.runnersWithOrders.delete(runner);
    this.#state.runnersNeedingReport.delete(runner);
    runner.serviceState?.runners.delete(runner);
    this.#state.runners.delete(runner.id);
    this.#state.dropRestoredIntents(runner.id);
    this.#state.isFleetStale = true;
  }

  #markKnown(now: Moment, runner: RunnerState): void {
    runner.areHoldsKnown = true;
    this.#state.runnersNeedingReport.delete(runner);
    runner.isReportRequested = false;
    runner.suspectUntil = -Infinity;
    runner.failures = 0;
    runner.idleSince = now;
    this.#state.dropRestoredIntents(runner.id);
    this.#state.isFleetStale = true;
  }

  /** Applies a runner's own report: newer than the list, but up to `reportLagMs` old. */
  onRunnerStatus(
    now: Moment,
    id: string,
    requestedAt: Moment,
    report: RunnerStatus | undefined,
  ): void {
    const runner = this.#state.runners.get(id);
    if (!runner?.isReportRequested) return;
    runner.isReportRequested = false;
    // It is executing an order of an earlier leader, or one from this leader whose answer was lost.
    if (!report || report.isBusy) {
      runner.reportDueAt = now + (report ? 250 : 500);
      return;
    }
    runner.reportDueAt = now + 250;
    // The first report after a change of leader is always used: with its order count, the runner rejects the next order
    // if another one came in between. Later reports must have been made after the last order had ended.
    const isFirstOfTerm = runner.idleSince <= this.#state.restoredAt;
    if (!isFirstOfTerm && requestedAt < runner.idleSince + this.#state.settings.reportLagMs) return;
    if (runner.queue.length > 0) return;
    this.#applyHolds(now, runner, report.holds);
    this.#detectNoopCounting(runner, report.orderCount);
    runner.orderCount = report.orderCount;
    runner.noopOrderCount = 0;
    runner.hasUnansweredOrder = false;
    this.#markKnown(now, runner);
  }

  /** Detects whether runners count orders without effect; only a runner that answered all its orders shows it. */
  #detectNoopCounting(runner: RunnerState, orderCount: number): void {
    if (
      runner.lastOrderCount === undefined ||
      runner.noopOrderCount === 0 ||
      runner.hasUnansweredOrder
    )
      return;
    const isContradiction =
      orderCount ===
      runner.lastOrderCount +
        (this.#state.countsNoopOrders ? -runner.noopOrderCount : runner.noopOrderCount);
    this.#contradictingReports = isContradiction ? this.#contradictingReports + 1 : 0;
    // A single runner may have received orders from another leader; several in a row have not.
    if (this.#contradictingReports >= 3) {
      this.#state.countsNoopOrders = !this.#state.countsNoopOrders;
      this.#contradictingReports = 0;
    }
  }

  /** The runners whose report must be requested now. Reports are costly: only uncertain runners are asked. */
  takeDueReportRequests(now: Moment): readonly string[] {
    const ids: string[] = [];
    for (const runner of this.#state.runnersNeedingReport) {
      if (
        runner.isReportRequested ||
        runner.reportDueAt > now ||
        runner.queue.length > 0 ||
        !this.#state.isInService(runner)
      )
        continue;
      runner.isReportRequested = true;
      ids.push(runner.id);
    }
    return ids;
  }
}
