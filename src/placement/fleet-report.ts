import type { PlacementState } from './placement-state.js';
import type { Moment } from '../common/ids.js';
import type { Fleet, FleetRunner, FleetWait } from './fleet.js';
import {
  type RunnerState,
  type ModelState,
  type ServiceState,
  byText,
  noDoc,
} from './planner-records.js';

/**
 * What the data plane is told of the fleet. It stays the same until something happens, so that time alone
 * makes no news.
 */
export class FleetReport {
  readonly #state: PlacementState;
  #fleet: Fleet = { flows: 0, runners: [], waits: [] };
  #waits = '';
  #waiting: { model: ModelState; adapter: string; dueAt: number }[] = [];

  constructor(state: PlacementState) {
    this.#state = state;
  }

  /** Who waits is gathered anew in each plan. */
  beginPlan(): void {
    this.#waiting = [];
  }

  /** Requests wait for a model, or for an adapter of it where one is named, that is not on its way yet. */
  wait(now: Moment, service: ServiceState, model: ModelState, adapter: string): void {
    const ahead = this.#waiting.length;
    const perSecond = service.engine.loadsPerSecond;
    const ms =
      adapter !== '' && model.holders.size > 0
        ? service.adapterMs * 4
        : perSecond > 0
          ? model.loadMs + ((ahead + 1) * 1000) / perSecond
          : 0;
    this.#waiting.push({ model, adapter, dueAt: ms > 0 ? now + ms : 0 });
    // Operators are told of who waits long; what is loaded within a moment is no news.
    if (
      adapter !== '' ||
      model.unservedSince === undefined ||
      now - model.unservedSince < this.#state.settings.waitReportIntervalMs
    )
      return;
    const doc = this.#state.docs.get(model.key) ?? noDoc(model.key);
    if (doc.wait === '') this.#state.put({ ...doc, wait: 'waits for a load' });
  }

  /** Who waits is news; when exactly it is due is told along with other news only. */
  reportWaits(): void {
    const keys: string[] = [];
    for (const { model, adapter } of this.#waiting) keys.push(`${model.key}\n${adapter}`);
    const text = keys.sort(byText).join('\n');
    if (text === this.#waits) return;
    this.#waits = text;
    this.#state.isFleetStale = true;
  }

  /** What the data plane is told; the same until something happens, so that time alone makes no news. */
  fleet(now: Moment): Fleet {
    if (!this.#state.isFleetStale) return this.#fleet;
    this.#state.isFleetStale = false;
    const runners: FleetRunner[] = [];
    for (const runner of this.#state.runners.values()) runners.push(this.#fleetRunner(now, runner));
    const waits: FleetWait[] = [];
    for (const { model, adapter, dueAt } of this.#waiting)
      waits.push({ model: model.name, adapter, readyMs: dueAt === 0 ? 0 : leftMs(now, dueAt) });
    this.#fleet = { flows: this.#state.proxyCount, runners, waits };
    return this.#fleet;
  }

  #fleetRunner(now: Moment, runner: RunnerState): FleetRunner {
    const { id, address, zone, service, slots } = runner.listed;
    const holds: { model: string; adapters: string[] }[] = [];
    const coming: { model: string; adapter: string; readyMs: number }[] = [];
    for (const held of runner.holds.values()) {
      if (held.phase !== 'ready') continue;
      const adapters: string[] = [];
      for (const [name, adapter] of held.adapters)
        if (adapter.phase === 'ready') adapters.push(name);
      holds.push({ model: held.model.name, adapters });
    }
    // An order out of reach tells nothing of when it is done.
    let ahead = 0;
    for (const op of runner.suspectUntil > now ? [] : runner.queue) {
      if (op.intent.verb === 'unload') continue;
      ahead = op.isAccepted ? Math.max(0, op.due - now) : ahead + op.expectedMs;
      coming.push({
        model: op.intent.model,
        adapter: op.intent.adapter,
        readyMs: Math.max(50, Math.round(ahead / 50) * 50),
      });
    }
    for (const { intent } of runner.restored) {
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
      coldMs: runner.coldUntil > now ? leftMs(now, runner.coldUntil) : 0,
      holds,
      coming,
    };
  }
}

function leftMs(now: number, at: number): number {
  return Math.max(50, Math.round((at - now) / 50) * 50);
}
