import type { PlacementState } from './placement-state.js';
import type { Moment } from '../common/ids.js';
import type { FleetDemand } from './fleet.js';
import { AdapterState, type ModelState, type ServiceState } from './planner-records.js';

interface ModelUnitDemand {
  readonly model: ModelState;
  readonly adapter: string;
  waiting: number;
  running: number;
}

interface ProxyDemand {
  at: number;
  units: ModelUnitDemand[];
}

/**
 * What proxies ask for, run and keep waiting, by model and adapter. A proxy's word is taken back whole
 * once the next one comes or none came for long.
 */
export class DemandTable {
  readonly #state: PlacementState;
  readonly #proxies = new Map<string, ProxyDemand>();

  constructor(state: PlacementState) {
    this.#state = state;
  }

  /** Forgets every proxy's word. */
  clear(): void {
    this.#proxies.clear();
  }

  /** Takes back the words of proxies that have said nothing for long. */
  expire(now: Moment): void {
    for (const [flow, word] of this.#proxies) {
      if (now - word.at <= this.#state.settings.demandTtlMs) continue;
      this.#forget(word);
      this.#proxies.delete(flow);
    }
  }

  /** A model is gone from the configuration: what proxies said of it is not taken back any more. */
  forgetModel(model: ModelState): void {
    for (const word of this.#proxies.values())
      word.units = word.units.filter((unit) => unit.model !== model);
  }

  /** What one proxy saw since its last word; what waits and runs there is told whole each time. */
  demand(now: Moment, report: FleetDemand): void {
    const word = this.#proxies.get(report.flow) ?? { at: now, units: [] };
    this.#forget(word);
    word.at = now;
    word.units = [];
    this.#proxies.set(report.flow, word);
    for (const unit of report.units) this.#noteUnit(now, word, unit);
    for (const service of this.#state.services.values()) this.dropServed(service);
  }

  #noteUnit(now: Moment, word: ProxyDemand, unit: FleetDemand['units'][number]): void {
    const model = this.#state.services.get(unit.service)?.models.get(unit.model);
    if (!model?.isListed) return;
    const adapter = unit.adapter === '' ? undefined : this.#adapterOf(now, model, unit.adapter);
    if (unit.count > 0 || unit.waiting > 0) {
      this.#noteFirstDemand(now, model.service);
      model.lastRequestedAt = now;
      if (adapter) adapter.lastRequestedAt = now;
    }
    if (unit.count > 0) this.#noteArrivals(now, model, adapter, unit.count);
    model.running += unit.running;
    if (adapter) adapter.running += unit.running;
    if (unit.waiting > 0) this.#noteWaiting(now, model, adapter, unit.waiting, unit.priority ?? 0);
    if (unit.waiting > 0 || unit.running > 0)
      word.units.push({
        model,
        adapter: unit.adapter,
        waiting: unit.waiting,
        running: unit.running,
      });
  }

  /**
   * Until demand was observed for a while, where copies are is the best evidence of what is asked for: this leader has
   * seen nothing yet, but whoever placed several copies of a model had. One copy may be a spare; the need for the others
   * fades as any other does.
   */
  #noteFirstDemand(now: Moment, service: ServiceState): void {
    if (service.firstDemandAt !== undefined) return;
    service.firstDemandAt = now;
    for (const model of service.models.values()) {
      const copies = this.#state.copies(now, model).all;
      if (copies < 2) continue;
      model.need = copies - 1;
      model.neededAt = now;
      model.isBusy = copies > 2;
      model.lastRequestedAt = now;
    }
  }

  #noteArrivals(
    now: Moment,
    model: ModelState,
    adapter: AdapterState | undefined,
    count: number,
  ): void {
    const { fastMs, slowMs } = this.#state.settings;
    model.fast.add(now, count, fastMs);
    model.slow.add(now, count, slowMs);
    model.service.all.add(now, count, fastMs);
    adapter?.slow.add(now, count, slowMs);
  }

  #noteWaiting(
    now: Moment,
    model: ModelState,
    adapter: AdapterState | undefined,
    waiting: number,
    priority: number,
  ): void {
    if (!model.service.waiting.has(model)) {
      model.waitingSince = now;
      model.priority = 9;
    }
    model.service.waiting.add(model);
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

  /** Takes back what a proxy told last. */
  #forget(word: ProxyDemand): void {
    for (const unit of word.units) {
      const adapter = unit.adapter === '' ? undefined : unit.model.adapters.get(unit.adapter);
      unit.model.waiting -= unit.waiting;
      unit.model.running -= unit.running;
      if (!adapter) continue;
      adapter.waiting -= unit.waiting;
      adapter.running -= unit.running;
    }
  }

  /** Between two words of a proxy its numbers are none for a moment: only here it is seen who no longer waits. */
  dropServed(service: ServiceState): void {
    for (const model of service.waiting) {
      for (const adapter of model.adapters.values())
        if (adapter.waiting <= 0) adapter.waitingSince = 0;
      if (model.waiting <= 0) service.waiting.delete(model);
    }
  }

  #adapterOf(now: Moment, model: ModelState, name: string): AdapterState | undefined {
    const known = model.adapters.get(name);
    if (known) return known;
    // Callers name what they like: no more are kept than there can be, but for a few.
    if (model.mostAdapters === 0) return undefined;
    if (model.adapters.size >= model.mostAdapters * 2) {
      for (const [other, state] of model.adapters)
        if (now - state.lastRequestedAt > 60_000 && state.waiting <= 0 && state.running <= 0)
          model.adapters.delete(other);
      if (model.adapters.size >= model.mostAdapters * 2) return undefined;
    }
    const adapter = new AdapterState(name);
    model.adapters.set(name, adapter);
    return adapter;
  }
}
