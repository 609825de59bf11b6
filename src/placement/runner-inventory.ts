import type { PlacementState } from './placement-state.js';
import type { Moment } from '../common/ids.js';
import type { ListedRunner, RunnerStatus } from './fleet.js';
import { type RunnerState, ModelState, type ServiceState } from './planner-records.js';

/**
 * Which runners there are and what they hold, by the platform's list and their own reports. Either is
 * believed only where it was surely made after the last order to that runner had ended.
 */
export class RunnerInventory {
  readonly #state: PlacementState;
  /** How many runners in a row told otherwise. */
  #otherCounting = 0;

  constructor(state: PlacementState) {
    this.#state = state;
  }

  /** The platform's list: who is there is believed at once, what they hold only where no order could have changed it since. */
  list(now: Moment, runners: readonly ListedRunner[]): void {
    const madeAt = now - this.#state.settings.lagMs - this.#state.settings.lagSlackMs;
    const seen = new Set<string>();
    for (const listed of runners) {
      seen.add(listed.id);
      let runner = this.#state.runners.get(listed.id);
      if (!runner) {
        runner = this.newRunner(now, listed);
        this.#state.isFleetStale = true;
      } else {
        const old = runner.listed;
        runner.listed = listed;
        if (
          old.address !== listed.address ||
          old.zone !== listed.zone ||
          old.slots !== listed.slots
        )
          this.#state.isFleetStale = true;
        // The list tells no count, so what is in doubt stays so for orders until the runner itself reports.
        if (runner.queue.length === 0 && runner.idleSince < madeAt)
          this.#adopt(now, runner, listed.holds);
      }
      if (runner.isLeaving !== listed.isLeaving) {
        runner.isLeaving = listed.isLeaving;
        this.#state.noteLost(now, runner);
        this.#state.touchAll(runner);
      }
      const coldUntil = listed.coldMs > 0 ? now + listed.coldMs : 0;
      if (Math.abs(coldUntil - runner.coldUntil) > 300) {
        runner.coldUntil = coldUntil;
        this.#state.isFleetStale = true;
      }
    }
    for (const runner of this.#state.runners.values())
      if (!seen.has(runner.id)) this.#gone(now, runner);
    // A runner of an earlier leader's intents that is off the list is gone with all it held.
    for (const id of [...this.#state.restored.keys()])
      if (!seen.has(id)) this.#state.dropRestored(id);
    this.#state.hasListed = true;
  }

  /** Begins to keep a runner that the list names, with what is known of it. */
  newRunner(now: Moment, listed: ListedRunner): RunnerState {
    const engine = this.#state.services.get(listed.service);
    const runner: RunnerState = {
      id: listed.id,
      service: listed.service,
      engine,
      listed,
      isLeaving: listed.isLeaving,
      coldUntil: 0,
      holds: new Map(),
      disk: new Set(),
      queue: [],
      given: undefined,
      isKnown: false,
      askAt: now,
      isAsked: false,
      idleSince: this.#state.restoredAt,
      unloadedAt: -Infinity,
      isUnloadingRuns: false,
      count: undefined,
      loadedModels: 0,
      counted: undefined,
      hasUnansweredOrder: false,
      suspectUntil: -Infinity,
      failures: 0,
      usedMb: undefined,
      restored: this.#state.restored.get(listed.id) ?? [],
    };
    this.#state.runners.set(runner.id, runner);
    // Who comes after the first list was never ordered by anybody; nor was anyone where nothing was ever written down.
    if ((this.#state.hasListed || !this.#state.hasPast) && runner.restored.length === 0) {
      runner.isKnown = true;
      runner.count = 0;
    }
    if (!engine) return runner;
    engine.runners.add(runner);
    if (!runner.isKnown) this.#state.suspected.add(runner);
    this.#adopt(now, runner, listed.holds);
    return runner;
  }

  /** Takes somebody's word on what a runner holds; only called while nothing is on its way there. */
  #adopt(now: Moment, runner: RunnerState, holds: ListedRunner['holds']): void {
    const engine = runner.engine;
    if (!engine) return;
    const told = new Set<string>();
    for (const hold of holds) {
      told.add(hold.model);
      const model = engine.models.get(hold.model) ?? this.#strange(engine, hold.model);
      let held = runner.holds.get(hold.model);
      if (!held) {
        held = {
          model,
          phase: 'ready',
          since: now - this.#state.settings.minResidencyMs,
          adapters: new Map(),
          suspectedUntil: -Infinity,
        };
        runner.holds.set(hold.model, held);
        model.holders.set(runner, held);
        this.#state.touch(runner, model);
      } else if (held.phase !== 'ready') {
        held.phase = 'ready';
        held.since = now;
        this.#state.touch(runner, model);
      }
      runner.disk.add(hold.model);
      const names = new Set(hold.adapters);
      for (const name of hold.adapters) {
        if (held.adapters.get(name)?.phase === 'ready') continue;
        held.adapters.set(name, {
          phase: 'ready',
          since: now - this.#state.settings.adapterStayMs,
          suspectedUntil: -Infinity,
        });
        this.#state.touch(runner, model);
      }
      for (const name of [...held.adapters.keys()])
        if (!names.has(name)) {
          held.adapters.delete(name);
          this.#state.touch(runner, model);
        }
    }
    for (const held of [...runner.holds.values()])
      if (!told.has(held.model.name)) this.#state.unhold(runner, held);
  }

  /** A model that no configuration tells of may be as large as any. */
  #strange(service: ServiceState, name: string): ModelState {
    const model = new ModelState(service, name);
    for (const other of service.engine.models) model.sizeMb = Math.max(model.sizeMb, other.sizeMb);
    service.models.set(name, model);
    return model;
  }

  #gone(now: Moment, runner: RunnerState): void {
    for (const held of runner.holds.values())
      if (held.phase === 'ready' && held.model.holders.size === 1)
        held.model.lastReplicaLostAt = now;
    for (const op of [...runner.queue]) this.#state.removeOp(runner, op);
    for (const held of [...runner.holds.values()]) this.#state.unhold(runner, held);
    this.#state.busy.delete(runner);
    this.#state.suspected.delete(runner);
    runner.engine?.runners.delete(runner);
    this.#state.runners.delete(runner.id);
    this.#state.dropRestored(runner.id);
    this.#state.isFleetStale = true;
  }

  #known(now: Moment, runner: RunnerState): void {
    runner.isKnown = true;
    this.#state.suspected.delete(runner);
    runner.isAsked = false;
    runner.suspectUntil = -Infinity;
    runner.failures = 0;
    runner.idleSince = now;
    this.#state.dropRestored(runner.id);
    this.#state.isFleetStale = true;
  }

  /** A runner's own report: fresher than the list, but a few hundred ms old too. */
  status(now: Moment, id: string, askedAt: Moment, status: RunnerStatus | undefined): void {
    const runner = this.#state.runners.get(id);
    if (!runner?.isAsked) return;
    runner.isAsked = false;
    // Under way there is what an earlier leader ordered, or an order of ours whose answer was lost.
    if (!status || status.isBusy) {
      runner.askAt = now + (status ? 250 : 500);
      return;
    }
    runner.askAt = now + 250;
    // The first report after a change of leader tells a count, and the order it is used for is turned away if any
    // other came between; else a report counts that was made after the last order had ended.
    const isFirst = runner.idleSince <= this.#state.restoredAt;
    if (!isFirst && askedAt < runner.idleSince + this.#state.settings.reportLagMs) return;
    if (runner.queue.length > 0) return;
    this.#adopt(now, runner, status.holds);
    this.#learnCounting(runner, status.orderCount);
    runner.count = status.orderCount;
    runner.loadedModels = 0;
    runner.hasUnansweredOrder = false;
    this.#known(now, runner);
  }

  /** Whether orders that need not be done are counted; only a runner all of whose orders were answered can tell. */
  #learnCounting(runner: RunnerState, orderCount: number): void {
    if (runner.counted === undefined || runner.loadedModels === 0 || runner.hasUnansweredOrder)
      return;
    const isOther =
      orderCount ===
      runner.counted +
        (this.#state.countsLoadedModels ? -runner.loadedModels : runner.loadedModels);
    this.#otherCounting = isOther ? this.#otherCounting + 1 : 0;
    // One runner may have been ordered by somebody else; several were not.
    if (this.#otherCounting >= 3) {
      this.#state.countsLoadedModels = !this.#state.countsLoadedModels;
      this.#otherCounting = 0;
    }
  }

  /** Each report costs: it is asked for where what a runner holds is in doubt, and nowhere else. */
  asks(now: Moment): readonly string[] {
    const ids: string[] = [];
    for (const runner of this.#state.suspected) {
      if (
        runner.isAsked ||
        runner.askAt > now ||
        runner.queue.length > 0 ||
        !this.#state.isOpen(runner)
      )
        continue;
      runner.isAsked = true;
      ids.push(runner.id);
    }
    return ids;
  }
}
