import { later, moment, type Moment } from '../common/ids.js';
import { holdKey, type RunnerView } from './placer-types.js';
import type { ServiceDoc } from './shapes.js';

/** How long an evicted model is not assigned to the same runner again, ms. */
const EVICTION_HOLD_OFF_MS = 15_000;

/** Tracks per runner and model since when the model is ready, is unplaced, or is being evicted. */
export class ResidencyTimes {
  readonly #unplacedAt = new Map<string, Moment>();
  readonly #readyAt = new Map<string, Moment>();
  readonly #evictingUntil = new Map<string, Moment>();

  /** Records models that reports show as ready for the first time. */
  noteReady(now: Moment, views: readonly RunnerView[]): void {
    for (const view of views) {
      for (const hold of view.report?.holds ?? []) {
        const key = holdKey(view.machine.id, hold.model);
        if (hold.state === 'ready' && hold.adapter === '' && !this.#readyAt.has(key))
          this.#readyAt.set(key, now);
      }
    }
  }

  /** Records loaded models without a placement at their runner, and drops the times of models no longer loaded. */
  noteUnplaced(
    now: Moment,
    views: readonly RunnerView[],
    docOf: (model: string) => ServiceDoc,
  ): void {
    const seen = new Set<string>();
    for (const view of views) {
      const runner = view.machine.id;
      for (const hold of view.report?.holds ?? []) {
        const key = holdKey(runner, hold.model);
        const { primary, understudy } = docOf(hold.model);
        seen.add(key);
        if (primary === runner || understudy === runner) this.#unplacedAt.delete(key);
        else if (!this.#unplacedAt.has(key)) this.#unplacedAt.set(key, now);
      }
    }
    for (const times of [this.#unplacedAt, this.#readyAt, this.#evictingUntil])
      for (const key of times.keys()) if (!seen.has(key)) times.delete(key);
  }

  /** When the model was first reported ready at the runner. */
  readyAt(runner: string, model: string): Moment | undefined {
    return this.#readyAt.get(holdKey(runner, model));
  }

  /** Since when the model is loaded at the runner without a placement there. */
  unplacedAt(runner: string, model: string): Moment | undefined {
    return this.#unplacedAt.get(holdKey(runner, model));
  }

  /** Records that the placement at the runner was removed now. */
  markUnplaced(now: Moment, runner: string, model: string): void {
    this.#unplacedAt.set(holdKey(runner, model), now);
  }

  /** Marks an eviction. Without the mark, the evicted model would be assigned there again before its memory is free. */
  markEvicting(now: Moment, runner: string, model: string): void {
    this.#evictingUntil.set(holdKey(runner, model), later(now, EVICTION_HOLD_OFF_MS));
  }

  /** Whether the model was marked for eviction from the runner recently. */
  isEvicting(now: Moment, runner: string, model: string): boolean {
    return (this.#evictingUntil.get(holdKey(runner, model)) ?? moment(now)) > now;
  }
}
