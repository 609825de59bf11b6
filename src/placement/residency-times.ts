import { later, moment, type Moment } from '../common/ids.js';
import { holdKey, type RunnerView } from './placer-types.js';
import type { ServiceDoc } from './shapes.js';

/** How long a hold that makes way is not seated again, ms. */
const MAKING_WAY_MS = 15_000;

/** Since when models are ready at runners, out of the places there, or making way for another. */
export class ResidencyTimes {
  readonly #unplacedAt = new Map<string, Moment>();
  readonly #readyAt = new Map<string, Moment>();
  readonly #makingWayUntil = new Map<string, Moment>();

  /** Notes what reports show as ready for the first time. */
  noteReady(now: Moment, views: readonly RunnerView[]): void {
    for (const view of views) {
      for (const hold of view.report?.holds ?? []) {
        const key = holdKey(view.machine.id, hold.model);
        if (hold.state === 'ready' && hold.adapter === '' && !this.#readyAt.has(key))
          this.#readyAt.set(key, now);
      }
    }
  }

  /** Notes what is held without a seat, and forgets what is held no more. */
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
    for (const times of [this.#unplacedAt, this.#readyAt, this.#makingWayUntil])
      for (const key of times.keys()) if (!seen.has(key)) times.delete(key);
  }

  readyAt(runner: string, model: string): Moment | undefined {
    return this.#readyAt.get(holdKey(runner, model));
  }

  unplacedAt(runner: string, model: string): Moment | undefined {
    return this.#unplacedAt.get(holdKey(runner, model));
  }

  /** Its seat was given up now. */
  unplaced(now: Moment, runner: string, model: string): void {
    this.#unplacedAt.set(holdKey(runner, model), now);
  }

  /** Else its own model would take the seat back before the room is free. */
  makesWay(now: Moment, runner: string, model: string): void {
    this.#makingWayUntil.set(holdKey(runner, model), later(now, MAKING_WAY_MS));
  }

  isMakingWay(now: Moment, runner: string, model: string): boolean {
    return (this.#makingWayUntil.get(holdKey(runner, model)) ?? moment(now)) > now;
  }
}
