import type { PlacementState } from './PlacementState.js';
import type { StoreBudget } from './StoreBudget.js';
import type { OrderQueue } from './OrderQueue.js';
import type { Eviction } from './Eviction.js';
import type { FleetReport } from './FleetReport.js';
import type { Moment } from '../common/Ids.js';
import {
  type RunnerState,
  type Want,
  type Way,
  type ModelState,
  type ServiceState,
  isPressing,
} from './PlannerRecords.js';

interface Choice {
  readonly runner: RunnerState;
  readonly way: Way;
  readonly isDisk: boolean;
}

/** Chooses the runner that takes a wanted copy of a model, and what makes way for it there. */
export class CopyChoice {
  readonly #state: PlacementState;
  readonly #eviction: Eviction;
  readonly #report: FleetReport;
  readonly #orders: OrderQueue;
  readonly #store: StoreBudget;

  constructor(
    state: PlacementState,
    eviction: Eviction,
    report: FleetReport,
    orders: OrderQueue,
    store: StoreBudget,
  ) {
    this.#state = state;
    this.#eviction = eviction;
    this.#report = report;
    this.#orders = orders;
    this.#store = store;
  }

  /** Places what is wanted, in its order, and remembers what presses and found no place. */
  placeAll(now: Moment, service: ServiceState, wants: readonly Want[]): void {
    // A copy that much of the work waits for finds no place while every runner is always loading something rare: what
    // comes after it then takes only runners that are of no use to it.
    const held: ModelState[] = [];
    const { pressMs } = this.#state.settings;
    for (const want of wants) {
      const isPlaced = this.#place(now, service, want, held);
      if (!isPressing(want)) continue;
      if (isPlaced) {
        service.pressing = service.pressing.filter(isOtherWant.bind(undefined, want));
        want.model.pressedAt = -Infinity;
        continue;
      }
      // What finds no place for long is not worth what would have to go for it.
      if (now - want.model.pressedAt > pressMs * 3) want.model.pressedAt = now;
      if (now - want.model.pressedAt <= pressMs) held.push(want.model);
    }
  }

  /** Whether what is wanted is on its way now; runners that could take one of `held` are left to it. */
  #place(now: Moment, service: ServiceState, want: Want, held: readonly ModelState[]): boolean {
    const choice = this.#choose(now, service, want, held);
    if (!choice) {
      if (want.kind === 'waiting') this.#report.wait(now, service, want.model, '');
      return false;
    }
    for (const victim of choice.way.victims)
      this.#orders.intend(now, choice.runner, 'unload', victim.held.model, victim.adapter);
    this.#orders.intend(now, choice.runner, 'load', want.model, '');
    return true;
  }

  #choose(
    now: Moment,
    service: ServiceState,
    want: Want,
    held: readonly ModelState[],
  ): Choice | undefined {
    const { model } = want;
    const isPressed = isPressing(want);
    const isStoreFree = this.#store.storeFree(now, service, model, want.kind, isPressed);
    const zones = this.#state.copies(now, model).zones;
    const most =
      want.kind === 'waiting' || isPressed || (want.kind === 'lost' && model.isBusy)
        ? want.gain
        : want.gain / this.#state.settings.worthRatio;
    let best: Choice | undefined;
    let bestScore = Infinity;
    for (const runner of service.runners) {
      if (
        runner.queue.length > 0 ||
        runner.holds.has(model.name) ||
        !this.#state.isUsable(now, runner)
      )
        continue;
      if (held.some(isMissingAt.bind(undefined, runner))) continue;
      const isDisk = runner.disk.has(model.name);
      if (!isDisk && !isStoreFree) continue;
      const free = service.engine.roomMb - this.#state.used(runner);
      const way = this.#eviction.makeRoom(now, runner, model.sizeMb - free, most, isPressed);
      if (!way || (want.kind === 'spare' && way.victims.length > 0)) continue;
      // A further copy takes its share of a busy model's work: it goes where there is least.
      const crowd = this.#state.load(runner) / Math.max(0.01, service.meanLoad);
      const score =
        way.loss +
        Math.min(3, crowd) * (want.kind === 'waiting' ? 0.1 : 1) +
        (zones.get(runner.listed.zone) ?? 0) * (want.kind === 'waiting' ? 0 : 2) +
        (runner.coldUntil > now ? 1 : 0) -
        (isDisk ? 0.3 : 0) +
        way.victims.length * 0.05;
      if (score < bestScore) {
        best = { runner, way, isDisk };
        bestScore = score;
      }
    }
    return best;
  }
}

function isMissingAt(runner: RunnerState, model: ModelState): boolean {
  return !runner.holds.has(model.name);
}

function isOtherWant(want: Want, other: Want): boolean {
  return other !== want;
}
