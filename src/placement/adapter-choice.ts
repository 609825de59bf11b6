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
  compareByLoss,
} from './planner-records.js';

/** Time constant with which the value of a recent request for an adapter decays. */
const RECENCY_TIME_CONSTANT_MS = 20_000;
/** The highest loss at which a model is evicted for an adapter. */
const MAX_MODEL_LOSS = 2;

/** An adapter at a runner and the loss of evicting it. */
interface AdapterLoss {
  readonly loadedModel: LoadedModel;
  readonly adapter: string;
  readonly loss: number;
}

/** Chooses which replicas of a model load which of its adapters, and which adapters are evicted for them. */
export class AdapterChoice {
  readonly #state: PlacementState;
  readonly #eviction: Eviction;
  readonly #fleetReport: FleetReport;
  readonly #orders: OrderQueue;

  constructor(state: PlacementState, eviction: Eviction, report: FleetReport, orders: OrderQueue) {
    this.#state = state;
    this.#eviction = eviction;
    this.#fleetReport = report;
    this.#orders = orders;
  }

  /** Loads adapters that requests wait for, and further replicas of adapters in high demand. */
  placeAdapters(now: Moment, service: ServiceState): void {
    for (const model of service.waitingModels) {
      for (const adapter of model.adapters.values()) {
        if (adapter.waiting <= 0 || adapter.rejectedUntil > now) continue;
        if (
          this.#state.adapterReplicas(now, model, adapter.name) > 0 &&
          !this.#suspectAdapterReplicas(now, model, adapter)
        )
          continue;
        if (!this.#placeAdapter(now, service, model, adapter, true))
          this.#fleetReport.addWait(now, service, model, adapter.name);
      }
    }
    if (service.replicasComparedAt !== now) return;
    const totalRequestsPerSecond = service.totalRate.perSecond(
      now,
      this.#state.settings.fastMs,
      service.firstDemandAt ?? now,
    );
    const spreadShare = spreadShareOf(service, this.#state.settings);
    for (const model of service.models.values()) {
      if (model.adapters.size === 0 || model.holders.size < 2) continue;
      for (const adapter of model.adapters.values()) {
        const adapterRequestsPerSecond = adapter.slowRate.perSecond(
          now,
          this.#state.settings.slowMs,
          service.firstDemandAt ?? now,
        );
        if (adapterRequestsPerSecond < 1 || adapter.rejectedUntil > now) continue;
        const neededReplicas = Math.max(
          2,
          totalRequestsPerSecond > 0
            ? Math.round(
                (adapterRequestsPerSecond / totalRequestsPerSecond) *
                  service.runners.size *
                  spreadShare,
              )
            : 2,
        );
        const currentReplicas = this.#state.adapterReplicas(now, model, adapter.name);
        if (
          currentReplicas > 0 &&
          currentReplicas < Math.min(neededReplicas, this.#state.replicaCounts(now, model).ready)
        )
          this.#placeAdapter(now, service, model, adapter, false);
      }
    }
  }

  /**
   * Marks the replicas of an adapter as suspected if they are ready and requests wait for the adapter all the same. If
   * all replicas of the model hold the adapter, the model's replicas are suspected too. Returns whether a replica of
   * the model without the adapter is left.
   */
  #suspectAdapterReplicas(now: Moment, model: ModelState, adapter: AdapterState): boolean {
    const { despiteMs } = this.#state.settings;
    if (
      now - adapter.waitingSince < despiteMs ||
      this.#state.adapterReplicas(now, model, adapter.name) > 2
    )
      return false;
    let hasOtherReplica = false;
    for (const loadedModel of model.holders.values()) {
      const loadedAdapter = loadedModel.adapters.get(adapter.name);
      if (!loadedAdapter) hasOtherReplica = true;
      else if (
        loadedAdapter.phase === 'coming' ||
        adapter.waitingReportedAt - loadedAdapter.since < despiteMs
      )
        return false;
    }
    for (const loadedModel of model.holders.values()) {
      const loadedAdapter = loadedModel.adapters.get(adapter.name);
      if (loadedAdapter) loadedAdapter.suspectedUntil = now + despiteMs * 5;
      if (loadedAdapter && !hasOtherReplica) loadedModel.suspectedUntil = now + despiteMs * 5;
    }
    return hasOtherReplica;
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
    for (const [runner, loadedModel] of model.holders) {
      if (
        loadedModel.phase === 'unloading' ||
        !this.#state.isUsable(now, runner) ||
        loadedModel.adapters.has(adapter.name) ||
        runner.queue.length >= 8
      )
        continue;
      if (!isWaiting && runner.queue.length > 0) continue;
      const eviction = this.#planAdapterEviction(now, service, runner, model, isWaiting);
      if (!eviction) continue;
      const head = runner.queue[0];
      const delay = head ? Math.max(0, head.isAccepted ? head.dueAt - now : head.expectedMs) : 0;
      const score =
        eviction.loss +
        delay / 200 +
        runner.queue.length * 0.1 +
        this.#state.slotUtilization(runner) * 0.5 +
        (loadedModel.suspectedUntil > now ? 5 : 0) +
        (runner.coldUntil > now ? 1 : 0);
      if (score < bestScore) {
        best = { runner, victims: [...eviction.victims] };
        bestScore = score;
      }
    }
    if (!best) return false;
    for (const victim of best.victims)
      this.#orders.createIntent(now, best.runner, 'unload', victim.loaded.model, victim.adapter);
    this.#orders.createIntent(now, best.runner, 'load', model, adapter.name);
    return true;
  }

  /** What must be evicted at a runner for an adapter of a model; undefined if that is not allowed or not enough. */
  #planAdapterEviction(
    now: Moment,
    service: ServiceState,
    runner: RunnerState,
    model: ModelState,
    mayEvict: boolean,
  ): EvictionPlan | undefined {
    let freeMb = service.engine.capacityMb - this.#state.usedMb(runner);
    let freeSlots = service.engine.adapterSlots - this.#state.adapterCount(runner);
    if (freeMb >= model.adapterMb && freeSlots > 0) return { victims: [], loss: 0 };
    if (!mayEvict || service.engine.adapterSlots <= 0) return undefined;
    const victims: EvictionCandidate[] = [];
    let loss = 0;
    for (const candidate of this.#evictableAdapters(now, service, runner)) {
      if (freeMb >= model.adapterMb && freeSlots > 0) break;
      victims.push({ loaded: candidate.loadedModel, adapter: candidate.adapter });
      freeMb += candidate.loadedModel.model.adapterMb;
      freeSlots += 1;
      loss += candidate.loss;
    }
    if (freeMb >= model.adapterMb && freeSlots > 0) return { victims, loss };
    // If model weights fill the runner, a model has to be evicted.
    if (freeSlots <= 0 || runner.queue.length > 0) return undefined;
    return this.#planModelEviction(now, service, runner, model);
  }

  /** The adapters of a runner that may be evicted now, lowest loss first. */
  #evictableAdapters(now: Moment, service: ServiceState, runner: RunnerState): AdapterLoss[] {
    const candidates: AdapterLoss[] = [];
    for (const loadedModel of runner.holds.values()) {
      if (loadedModel.phase !== 'ready') continue;
      for (const [adapter, loadedAdapter] of loadedModel.adapters) {
        const state = loadedModel.model.adapters.get(adapter);
        if (!this.#mayEvictAdapter(now, loadedAdapter) || (state && state.waiting > 0)) continue;
        candidates.push({
          loadedModel,
          adapter,
          loss: this.#adapterLoss(now, service, loadedModel.model, adapter),
        });
      }
    }
    return candidates.sort(compareByLoss);
  }

  #mayEvictAdapter(now: Moment, loadedAdapter: LoadedAdapter): boolean {
    if (loadedAdapter.phase !== 'ready') return false;
    const residentUntil = loadedAdapter.since + this.#state.settings.adapterStayMs;
    if (residentUntil > now)
      this.#state.blockedUntil = Math.min(this.#state.blockedUntil, residentUntil);
    return residentUntil <= now;
  }

  #adapterLoss(now: Moment, service: ServiceState, model: ModelState, adapter: string): number {
    const { slowMs } = this.#state.settings;
    const state = model.adapters.get(adapter);
    const rate = state?.slowRate.perSecond(now, slowMs, service.firstDemandAt ?? now) ?? 0;
    const otherReplicas = this.#state.adapterReplicas(now, model, adapter) - 1;
    const recency = Math.exp(
      -(now - (state?.lastRequestedAt ?? -Infinity)) / RECENCY_TIME_CONSTANT_MS,
    );
    return (otherReplicas > 0 ? rate * 0.2 : rate) + recency + 0.01;
  }

  #planModelEviction(
    now: Moment,
    service: ServiceState,
    runner: RunnerState,
    model: ModelState,
  ): EvictionPlan | undefined {
    const freeMb = service.engine.capacityMb - this.#state.usedMb(runner);
    let best: { loadedModel: LoadedModel; loss: number } | undefined;
    for (const loadedModel of runner.holds.values()) {
      if (loadedModel.model === model || !this.#eviction.mayEvict(now, loadedModel, false))
        continue;
      const loss = this.#eviction.loss(now, loadedModel.model);
      if (loss >= MAX_MODEL_LOSS || (best && loss >= best.loss)) continue;
      if (freeMb + loadedModel.model.sizeMb >= model.adapterMb) best = { loadedModel, loss };
    }
    return best
      ? { victims: [{ loaded: best.loadedModel, adapter: '' }], loss: best.loss }
      : undefined;
  }
}
