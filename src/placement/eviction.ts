import type { PlacementState } from './placement-state.js';
import type { Moment } from '../common/ids.js';
import {
  type LoadedModel,
  type RunnerState,
  type EvictionCandidate,
  type EvictionPlan,
  type ModelState,
  compareByLoss,
} from './planner-records.js';

/** Computes the loss of evicting a model from a runner, and chooses the models to evict at the lowest loss. */
export class Eviction {
  readonly #state: PlacementState;

  constructor(state: PlacementState) {
    this.#state = state;
  }

  /** The loss of the last replica, in requests: those that wait during a reload, and the next one to arrive. */
  lossOfLastReplica(now: number, model: ModelState): number {
    const rate = this.#state.slowRate(now, model);
    return rate * (model.loadMs / 1000 + 0.4) + 1 - Math.exp(-3 * rate);
  }

  /** The loss of evicting a replica, in requests; computed once per plan. */
  loss(now: number, model: ModelState): number {
    if (model.lossPlanNumber !== this.#state.planNumber) {
      model.lossPlanNumber = this.#state.planNumber;
      model.loss = this.#computeLoss(now, model);
    }
    return model.loss;
  }

  #computeLoss(now: number, model: ModelState): number {
    const replicas = this.#state.replicaCounts(now, model);
    // The longer the last request is ago, the lower the loss, also where the rates are too low to tell models apart.
    const recency = 0.2 * Math.exp(-(now - model.lastRequestedAt) / 20_000);
    if (replicas.ready <= 1) return this.lossOfLastReplica(now, model) + recency + 0.05;
    const missing = Math.min(1, Math.max(0, model.neededReplicas - (replicas.ready - 1)));
    // A needed replica has running requests to finish before it is unloaded, and has to be fetched again.
    const busyLoss = model.isBusy ? missing * this.#state.settings.neededLoss : 0;
    return (
      (this.#state.fastRate(now, model) / replicas.ready) * 0.3 * missing +
      busyLoss +
      0.01 +
      recency * 0.1
    );
  }

  /**
   * The models to evict for `needMb` at the lowest loss below `maxLoss`; undefined if there are none. `isUrgent`: for a
   * replica that much of the load waits for.
   */
  planEviction(
    now: Moment,
    runner: RunnerState,
    needMb: number,
    maxLoss: number,
    isUrgent: boolean,
  ): EvictionPlan | undefined {
    if (needMb <= 0) return { victims: [], loss: 0 };
    const candidates: { loadedModel: LoadedModel; mb: number; loss: number }[] = [];
    for (const loadedModel of runner.holds.values()) {
      if (!this.mayEvict(now, loadedModel, isUrgent)) continue;
      const loss =
        this.loss(now, loadedModel.model) +
        0.3 * Math.min(1, Math.max(0, loadedModel.model.running) / loadedModel.model.holders.size);
      if (loss < maxLoss)
        candidates.push({
          loadedModel,
          mb: loadedModel.model.sizeMb + loadedModel.adapters.size * loadedModel.model.adapterMb,
          loss,
        });
    }
    let best: { loadedModel: LoadedModel; mb: number; loss: number } | undefined;
    for (const candidate of candidates)
      if (candidate.mb >= needMb && (!best || candidate.loss < best.loss)) best = candidate;
    if (best) return { victims: [{ loaded: best.loadedModel, adapter: '' }], loss: best.loss };
    // No single model frees enough.
    candidates.sort(compareByLoss);
    const victims: EvictionCandidate[] = [];
    let loss = 0;
    let mb = 0;
    for (const candidate of candidates) {
      victims.push({ loaded: candidate.loadedModel, adapter: '' });
      loss += candidate.loss;
      mb += candidate.mb;
      if (mb >= needMb) return loss < maxLoss ? { victims, loss } : undefined;
    }
    return undefined;
  }

  /** Whether a model may be evicted now; if it was only just loaded, planning is repeated when it may be. */
  mayEvict(now: Moment, loadedModel: LoadedModel, isUrgent: boolean): boolean {
    if (loadedModel.phase !== 'ready') return false;
    // An urgent replica may evict a model after a quarter of the time, if no requests wait for that model any more.
    const residentUntil =
      loadedModel.since +
      (isUrgent && loadedModel.model.waiting <= 0
        ? this.#state.settings.minResidencyMs / 4
        : this.#state.settings.minResidencyMs);
    if (residentUntil > now) {
      this.#state.blockedUntil = Math.min(this.#state.blockedUntil, residentUntil);
      return false;
    }
    for (const adapter of loadedModel.adapters.values())
      if (adapter.phase === 'coming') return false;
    return true;
  }
}
