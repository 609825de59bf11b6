import type { PlacementState } from './placement-state.js';
import type { Moment } from '../common/ids.js';
import {
  type LoadedModel,
  type RunnerState,
  type EvictionCandidate,
  type EvictionPlan,
  type ModelState,
  byLoss,
} from './planner-records.js';

/** What it costs to take a model away from a runner, and which models make way at least cost. */
export class Eviction {
  readonly #state: PlacementState;

  constructor(state: PlacementState) {
    this.#state = state;
  }

  /** What it costs to lose the last copy: requests that wait, and the next one that comes. */
  lossOfLast(now: number, model: ModelState): number {
    const rate = this.#state.slowRate(now, model);
    return rate * (model.loadMs / 1000 + 0.4) + 1 - Math.exp(-3 * rate);
  }

  /** What it costs to take a copy away from a runner. */
  loss(now: number, model: ModelState): number {
    if (model.lossIn !== this.#state.planNumber) {
      model.lossIn = this.#state.planNumber;
      model.loss = this.#lossNow(now, model);
    }
    return model.loss;
  }

  #lossNow(now: number, model: ModelState): number {
    const copies = this.#state.copies(now, model);
    // The longer nobody asked, the less it is worth, also where rates tell nothing.
    const recency = 0.2 * Math.exp(-(now - model.lastRequestedAt) / 20_000);
    if (copies.ready <= 1) return this.lossOfLast(now, model) + recency + 0.05;
    const missing = Math.min(1, Math.max(0, model.need - (copies.ready - 1)));
    // A copy that is needed has runs that must end before it goes, and has to be fetched again.
    const needed = model.isBusy ? missing * this.#state.settings.neededLoss : 0;
    return (
      (this.#state.fastRate(now, model) / copies.ready) * 0.3 * missing +
      needed +
      0.01 +
      recency * 0.1
    );
  }

  /** The models that make way at least cost, if any may. */
  makeRoom(
    now: Moment,
    runner: RunnerState,
    needMb: number,
    most: number,
    isPressed: boolean,
  ): EvictionPlan | undefined {
    if (needMb <= 0) return { victims: [], loss: 0 };
    const all: { held: LoadedModel; mb: number; loss: number }[] = [];
    for (const held of runner.holds.values()) {
      if (!this.mayGo(now, held, isPressed)) continue;
      const loss =
        this.loss(now, held.model) +
        0.3 * Math.min(1, Math.max(0, held.model.running) / held.model.holders.size);
      if (loss < most)
        all.push({ held, mb: held.model.sizeMb + held.adapters.size * held.model.adapterMb, loss });
    }
    let best: { held: LoadedModel; mb: number; loss: number } | undefined;
    for (const one of all) if (one.mb >= needMb && (!best || one.loss < best.loss)) best = one;
    if (best) return { victims: [{ loaded: best.held, adapter: '' }], loss: best.loss };
    // No single one is enough.
    all.sort(byLoss);
    const victims: EvictionCandidate[] = [];
    let loss = 0;
    let mb = 0;
    for (const one of all) {
      victims.push({ loaded: one.held, adapter: '' });
      loss += one.loss;
      mb += one.mb;
      if (mb >= needMb) return loss < most ? { victims, loss } : undefined;
    }
    return undefined;
  }

  /** Whether a model may be taken away now; if it has only just come, the plan is made again once it may. */
  mayGo(now: Moment, held: LoadedModel, isPressed: boolean): boolean {
    if (held.phase !== 'ready') return false;
    // For a crowd even what has just come makes way, once those who waited for it were served.
    const stays =
      held.since +
      (isPressed && held.model.waiting <= 0
        ? this.#state.settings.minResidencyMs / 4
        : this.#state.settings.minResidencyMs);
    if (stays > now) {
      this.#state.blockedUntil = Math.min(this.#state.blockedUntil, stays);
      return false;
    }
    for (const adapter of held.adapters.values()) if (adapter.phase === 'coming') return false;
    return true;
  }
}
