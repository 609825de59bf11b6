import type { PlacementState } from './placement-state.js';
import type { StoreRateLimit } from './store-rate-limit.js';
import type { OrderQueue } from './order-queue.js';
import type { Eviction } from './eviction.js';
import type { FleetReport } from './fleet-report.js';
import type { Moment } from '../common/ids.js';
import {
  type RunnerState,
  type ReplicaWant,
  type EvictionPlan,
  type ModelState,
  type ServiceState,
  isPressing,
} from './planner-records.js';

/** A load from disk is not counted by the store, however soon it is done. */
const MIN_DISK_GAIN = 0.3;
/** What each second less is worth, in requests (the unit of losses): about what a rare model is asked for in it. */
const DISK_GAIN_PER_SECOND = 0.6;

/** The share of the open runners that is left to loads that many wait for. */
const RESERVED_RUNNER_SHARE = 0.25;
/** So many waiting requests are a crowd: a model that is rare hardly has them within the time of one load. */
const MIN_CROWD = 3;

interface RunnerChoice {
  readonly runner: RunnerState;
  readonly way: EvictionPlan;
  readonly isDisk: boolean;
}

/** Chooses the runner that takes a wanted copy of a model, and what makes way for it there. */
export class ReplicaChoice {
  readonly #state: PlacementState;
  readonly #eviction: Eviction;
  readonly #report: FleetReport;
  readonly #orders: OrderQueue;
  readonly #store: StoreRateLimit;

  constructor(
    state: PlacementState,
    eviction: Eviction,
    report: FleetReport,
    orders: OrderQueue,
    store: StoreRateLimit,
  ) {
    this.#state = state;
    this.#eviction = eviction;
    this.#report = report;
    this.#orders = orders;
    this.#store = store;
  }

  /** Places what is wanted, in its order, and remembers what presses and found no place. */
  placeAll(now: Moment, service: ServiceState, wants: readonly ReplicaWant[]): void {
    // A copy that much of the work waits for finds no place while every runner is always loading something rare: what
    // comes after it then takes only runners that are of no use to it.
    const held: ModelState[] = [];
    const { pressMs } = this.#state.settings;
    for (const want of wants) {
      const isPlaced = this.#place(now, service, want, held);
      if (!isPressing(want)) continue;
      if (isPlaced) {
        service.pressing = service.pressing.filter((other) => other !== want);
        want.model.pressedAt = -Infinity;
        continue;
      }
      // What finds no place for long is not worth what would have to go for it.
      if (now - want.model.pressedAt > pressMs * 3) want.model.pressedAt = now;
      if (now - want.model.pressedAt <= pressMs) held.push(want.model);
    }
  }

  /** Whether what is wanted is on its way now; runners that could take one of `held` are left to it. */
  #place(
    now: Moment,
    service: ServiceState,
    want: ReplicaWant,
    held: readonly ModelState[],
  ): boolean {
    const choice = this.#choose(now, service, want, held);
    if (!choice) {
      if (want.kind === 'waiting') this.#report.wait(now, service, want.model, '');
      return false;
    }
    for (const victim of choice.way.victims)
      this.#orders.intend(now, choice.runner, 'unload', victim.loaded.model, victim.adapter);
    this.#orders.intend(now, choice.runner, 'load', want.model, '');
    return true;
  }

  #choose(
    now: Moment,
    service: ServiceState,
    want: ReplicaWant,
    held: readonly ModelState[],
  ): RunnerChoice | undefined {
    const { model } = want;
    const isStoreFree =
      this.#store.storeFree(now, service, model, want.kind, isPressing(want)) &&
      (isUrgent(want) || this.#hasRunnersInReserve(service));
    const { zones } = this.#state.copies(now, model);
    const most = this.#mostLossFor(want);
    let best: RunnerChoice | undefined;
    let bestScore = Infinity;
    for (const runner of service.runners) {
      if (!this.#mayTake(now, runner, model)) continue;
      if (held.some((model) => !runner.holds.has(model.name))) continue;
      const isDisk = runner.disk.has(model.name);
      if (!isDisk && !isStoreFree) continue;
      const free = service.engine.capacityMb - this.#state.used(runner);
      const need = model.sizeMb - free;
      const way = this.#eviction.makeRoom(now, runner, need, most, isPressing(want));
      if (!way || (want.kind === 'spare' && way.victims.length > 0)) continue;
      const choice = { runner, way, isDisk };
      const score = this.#score(now, service, want, zones, choice);
      if (score >= bestScore) continue;
      best = choice;
      bestScore = score;
    }
    return best;
  }

  /**
   * Whether a load that few wait for leaves some runners free. A runner does one order at a time, and a load from the
   * store may take seconds: while every runner is busy with one, a model that a crowd starts to ask for finds none.
   */
  #hasRunnersInReserve(service: ServiceState): boolean {
    let open = 0;
    let idle = 0;
    for (const runner of service.runners) {
      if (!this.#state.isOpen(runner)) continue;
      open += 1;
      if (runner.queue.length === 0) idle += 1;
    }
    return idle > Math.floor(open * RESERVED_RUNNER_SHARE);
  }

  #mayTake(now: Moment, runner: RunnerState, model: ModelState): boolean {
    const isFree = runner.queue.length === 0 && !runner.holds.has(model.name);
    return isFree && this.#state.isUsable(now, runner);
  }

  /** What may be lost at most for a copy: all that it is worth where somebody waits for it, else less. */
  #mostLossFor(want: ReplicaWant): number {
    const isNeeded =
      want.kind === 'waiting' || isPressing(want) || (want.kind === 'lost' && want.model.isBusy);
    return isNeeded ? want.gain : want.gain / this.#state.settings.worthRatio;
  }

  /** The less, the better. */
  #score(
    now: Moment,
    service: ServiceState,
    want: ReplicaWant,
    zones: ReadonlyMap<string, number>,
    { runner, way, isDisk }: RunnerChoice,
  ): number {
    const isWaiting = want.kind === 'waiting';
    // A further copy takes its share of a busy model's work: it goes where there is least.
    const crowd = this.#state.load(runner) / Math.max(0.01, service.meanLoad);
    return (
      way.loss +
      Math.min(3, crowd) * (isWaiting ? 0.1 : 1) +
      (zones.get(runner.listed.zone) ?? 0) * (isWaiting ? 0 : 2) +
      (runner.coldUntil > now ? 1 : 0) -
      (isDisk ? diskGain(service, want.model) : 0) +
      way.victims.length * 0.05
    );
  }
}

/** Whether a copy is wanted by more than one or two, so that it may take a runner of the reserve. */
function isUrgent(want: ReplicaWant): boolean {
  return isPressing(want) || want.model.isBusy || want.model.waiting >= MIN_CROWD;
}

/** What a load from a runner's own disk is worth against one from the store: sooner served, and its runner sooner free. */
function diskGain(service: ServiceState, model: ModelState): number {
  const savedMs = model.loadMs * (service.storeFactor - service.diskFactor);
  return Math.max(MIN_DISK_GAIN, (savedMs / 1000) * DISK_GAIN_PER_SECOND);
}
