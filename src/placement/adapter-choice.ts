import type { PlacementState } from './placement-state.js';
import type { OrderQueue } from './order-queue.js';
import type { Eviction } from './eviction.js';
import type { FleetReport } from './fleet-report.js';
import type { Moment } from '../common/ids.js';
import { spreadShareOf } from './spread-share.js';
import {
  type LoadedAdapter,
  type LoadedModel,
  type RunnerState,
  type EvictionCandidate,
  type EvictionPlan,
  type AdapterState,
  type ModelState,
  type ServiceState,
  byLoss,
} from './planner-records.js';

/** How slowly it is forgotten that an adapter was asked for. */
const RECENT_MS = 20_000;
/** What a model may cost at most that makes way for an adapter. */
const MOST_LOSS = 2;

/** An adapter at a runner, and what it costs to take it away. */
interface AdapterLoss {
  readonly held: LoadedModel;
  readonly adapter: string;
  readonly loss: number;
}

/** Chooses which copies of a model get which of its adapters, and which adapters make way. */
export class AdapterChoice {
  readonly #state: PlacementState;
  readonly #eviction: Eviction;
  readonly #report: FleetReport;
  readonly #orders: OrderQueue;

  constructor(state: PlacementState, eviction: Eviction, report: FleetReport, orders: OrderQueue) {
    this.#state = state;
    this.#eviction = eviction;
    this.#report = report;
    this.#orders = orders;
  }

  /** Loads adapters that requests wait for, and further copies of adapters that are asked for much. */
  placeAdapters(now: Moment, service: ServiceState): void {
    for (const model of service.waiting) {
      for (const adapter of model.adapters.values()) {
        if (adapter.waiting <= 0 || adapter.badUntil > now) continue;
        if (
          this.#state.adapterReplicas(now, model, adapter.name) > 0 &&
          !this.#suspectAdapter(now, model, adapter)
        )
          continue;
        if (!this.#placeAdapter(now, service, model, adapter, true))
          this.#report.wait(now, service, model, adapter.name);
      }
    }
    if (service.scaledUpAt !== now) return;
    const all = service.all.perSecond(
      now,
      this.#state.settings.fastMs,
      service.firstDemandAt ?? now,
    );
    const spreadShare = spreadShareOf(service, this.#state.settings);
    for (const model of service.models.values()) {
      if (model.adapters.size === 0 || model.holders.size < 2) continue;
      for (const adapter of model.adapters.values()) {
        const rate = adapter.slow.perSecond(
          now,
          this.#state.settings.slowMs,
          service.firstDemandAt ?? now,
        );
        if (rate < 1 || adapter.badUntil > now) continue;
        const need = Math.max(
          2,
          all > 0 ? Math.round((rate / all) * service.runners.size * spreadShare) : 2,
        );
        const have = this.#state.adapterReplicas(now, model, adapter.name);
        if (have > 0 && have < Math.min(need, this.#state.copies(now, model).ready))
          this.#placeAdapter(now, service, model, adapter, false);
      }
    }
  }

  /** An adapter that is ready somewhere, and yet waited for, does not serve there; nor does the model if that is all there is. */
  #suspectAdapter(now: Moment, model: ModelState, adapter: AdapterState): boolean {
    const { despiteMs } = this.#state.settings;
    if (
      now - adapter.waitingSince < despiteMs ||
      this.#state.adapterReplicas(now, model, adapter.name) > 2
    )
      return false;
    let isElsewhere = false;
    for (const held of model.holders.values()) {
      const hold = held.adapters.get(adapter.name);
      if (!hold) isElsewhere = true;
      else if (hold.phase === 'coming' || adapter.waitingReportedAt - hold.since < despiteMs)
        return false;
    }
    for (const held of model.holders.values()) {
      const hold = held.adapters.get(adapter.name);
      if (hold) hold.suspectedUntil = now + despiteMs * 5;
      if (hold && !isElsewhere) held.suspectedUntil = now + despiteMs * 5;
    }
    return isElsewhere;
  }

  #placeAdapter(
    now: Moment,
    service: ServiceState,
    model: ModelState,
    adapter: AdapterState,
    isWaiting: boolean,
  ): boolean {
    let best: { runner: RunnerState; victims: EvictionCandidate[] } | undefined;
    let bestScore = Infinity;
    for (const [runner, held] of model.holders) {
      if (
        held.phase === 'unloading' ||
        !this.#state.isUsable(now, runner) ||
        held.adapters.has(adapter.name) ||
        runner.queue.length >= 8
      )
        continue;
      if (!isWaiting && runner.queue.length > 0) continue;
      const way = this.#makeAdapterRoom(now, service, runner, model, isWaiting);
      if (!way) continue;
      const head = runner.queue[0];
      const delay = head ? Math.max(0, head.isAccepted ? head.due - now : head.expectedMs) : 0;
      const score =
        way.loss +
        delay / 200 +
        runner.queue.length * 0.1 +
        this.#state.load(runner) * 0.5 +
        (held.suspectedUntil > now ? 5 : 0) +
        (runner.coldUntil > now ? 1 : 0);
      if (score < bestScore) {
        best = { runner, victims: [...way.victims] };
        bestScore = score;
      }
    }
    if (!best) return false;
    for (const victim of best.victims)
      this.#orders.intend(now, best.runner, 'unload', victim.loaded.model, victim.adapter);
    this.#orders.intend(now, best.runner, 'load', model, adapter.name);
    return true;
  }

  /** What has to make way at a runner for an adapter of a model; nothing where none may. */
  #makeAdapterRoom(
    now: Moment,
    service: ServiceState,
    runner: RunnerState,
    model: ModelState,
    mayThrowOut: boolean,
  ): EvictionPlan | undefined {
    let free = service.engine.capacityMb - this.#state.used(runner);
    let slots = service.engine.adapterSlots - this.#state.adapterCount(runner);
    if (free >= model.adapterMb && slots > 0) return { victims: [], loss: 0 };
    if (!mayThrowOut || service.engine.adapterSlots <= 0) return undefined;
    const victims: EvictionCandidate[] = [];
    let loss = 0;
    for (const one of this.#adaptersByLoss(now, service, runner)) {
      if (free >= model.adapterMb && slots > 0) break;
      victims.push({ loaded: one.held, adapter: one.adapter });
      free += one.held.model.adapterMb;
      slots += 1;
      loss += one.loss;
    }
    if (free >= model.adapterMb && slots > 0) return { victims, loss };
    // Where weights fill a runner to the brim, a model has to go.
    if (slots <= 0 || runner.queue.length > 0) return undefined;
    return this.#throwOutModel(now, service, runner, model);
  }

  /** The adapters of a runner that may go now, those that cost least first. */
  #adaptersByLoss(now: Moment, service: ServiceState, runner: RunnerState): AdapterLoss[] {
    const all: AdapterLoss[] = [];
    for (const held of runner.holds.values()) {
      if (held.phase !== 'ready') continue;
      for (const [adapter, hold] of held.adapters) {
        const state = held.model.adapters.get(adapter);
        if (!this.#mayGo(now, hold) || (state && state.waiting > 0)) continue;
        all.push({ held, adapter, loss: this.#lossOf(now, service, held.model, adapter) });
      }
    }
    return all.sort(byLoss);
  }

  #mayGo(now: Moment, hold: LoadedAdapter): boolean {
    if (hold.phase !== 'ready') return false;
    const stays = hold.since + this.#state.settings.adapterStayMs;
    if (stays > now) this.#state.blockedUntil = Math.min(this.#state.blockedUntil, stays);
    return stays <= now;
  }

  #lossOf(now: Moment, service: ServiceState, model: ModelState, adapter: string): number {
    const { slowMs } = this.#state.settings;
    const state = model.adapters.get(adapter);
    const rate = state?.slow.perSecond(now, slowMs, service.firstDemandAt ?? now) ?? 0;
    const others = this.#state.adapterReplicas(now, model, adapter) - 1;
    const recency = Math.exp(-(now - (state?.lastRequestedAt ?? -Infinity)) / RECENT_MS);
    return (others > 0 ? rate * 0.2 : rate) + recency + 0.01;
  }

  #throwOutModel(
    now: Moment,
    service: ServiceState,
    runner: RunnerState,
    model: ModelState,
  ): EvictionPlan | undefined {
    const free = service.engine.capacityMb - this.#state.used(runner);
    let best: { held: LoadedModel; loss: number } | undefined;
    for (const held of runner.holds.values()) {
      if (held.model === model || !this.#eviction.mayGo(now, held, false)) continue;
      const loss = this.#eviction.loss(now, held.model);
      if (loss >= MOST_LOSS || (best && loss >= best.loss)) continue;
      if (free + held.model.sizeMb >= model.adapterMb) best = { held, loss };
    }
    return best ? { victims: [{ loaded: best.held, adapter: '' }], loss: best.loss } : undefined;
  }
}
