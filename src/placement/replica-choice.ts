import type { PlacementState } from './placement-state.js';
import type { StoreRateLimit } from './store-rate-limit.js';
import type { OrderQueue } from './order-queue.js';
import type { Eviction } from './eviction.js';
import type { FleetReport } from './fleet-report.js';
import type { Moment } from '../common/ids.js';
import {
  type RunnerState,
  type DesiredReplica,
  type EvictionPlan,
  type ModelState,
  type ServiceState,
  isUrgentGrowth,
} from './planner-records.js';

/** The minimum gain of a load from disk: even if it is no faster, it does not count against the store's rate limit. */
const MIN_DISK_GAIN = 0.3;
/** The gain of each saved second, in requests (the unit of losses): about the rate of a rare model. */
const DISK_GAIN_PER_SECOND = 0.6;

/** The share of the runners in service that is reserved for loads that many requests wait for. */
const RESERVED_RUNNER_SHARE = 0.25;
/** From this number of waiting requests a load is urgent: a rare model hardly gets as many within one load time. */
const MIN_QUEUED = 3;

interface RunnerChoice {
  readonly runner: RunnerState;
  readonly eviction: EvictionPlan;
  readonly isDiskLoad: boolean;
}

/** Chooses the runner for a desired replica of a model, and what is evicted for it there. */
export class ReplicaChoice {
  readonly #state: PlacementState;
  readonly #eviction: Eviction;
  readonly #fleetReport: FleetReport;
  readonly #orders: OrderQueue;
  readonly #storeRateLimit: StoreRateLimit;

  constructor(
    state: PlacementState,
    eviction: Eviction,
    report: FleetReport,
    orders: OrderQueue,
    store: StoreRateLimit,
  ) {
    this.#state = state;
    this.#eviction = eviction;
    this.#fleetReport = report;
    this.#orders = orders;
    this.#storeRateLimit = store;
  }

  /** Places the desired replicas in their order, and records the urgent ones that found no runner. */
  placeAll(now: Moment, service: ServiceState, desiredReplicas: readonly DesiredReplica[]): void {
    // An urgent replica finds no runner while every runner is always loading some rare model: later replicas then use
    // only the runners that cannot take the urgent one.
    const reservedFor: ModelState[] = [];
    const { pressMs } = this.#state.settings;
    for (const desired of desiredReplicas) {
      const isPlaced = this.#place(now, service, desired, reservedFor);
      if (!isUrgentGrowth(desired)) continue;
      if (isPlaced) {
        service.urgentGrowth = service.urgentGrowth.filter((other) => other !== desired);
        desired.model.urgentGrowthSince = -Infinity;
        continue;
      }
      // A replica that finds no runner for this long is not worth what would have to be evicted for it.
      if (now - desired.model.urgentGrowthSince > pressMs * 3)
        desired.model.urgentGrowthSince = now;
      if (now - desired.model.urgentGrowthSince <= pressMs) reservedFor.push(desired.model);
    }
  }

  /** Orders the load of a replica if possible; runners that could take one of `reservedFor` are left to it. */
  #place(
    now: Moment,
    service: ServiceState,
    desired: DesiredReplica,
    reservedFor: readonly ModelState[],
  ): boolean {
    const choice = this.#choose(now, service, desired, reservedFor);
    if (!choice) {
      if (desired.kind === 'waiting') this.#fleetReport.addWait(now, service, desired.model, '');
      return false;
    }
    for (const victim of choice.eviction.victims)
      this.#orders.createIntent(now, choice.runner, 'unload', victim.loaded.model, victim.adapter);
    this.#orders.createIntent(now, choice.runner, 'load', desired.model, '');
    return true;
  }

  #choose(
    now: Moment,
    service: ServiceState,
    desired: DesiredReplica,
    reservedFor: readonly ModelState[],
  ): RunnerChoice | undefined {
    const { model } = desired;
    const isStoreFree =
      this.#storeRateLimit.mayLoad(now, service, model, desired.kind, isUrgentGrowth(desired)) &&
      (isUrgent(desired) || this.#hasRunnersInReserve(service));
    const { zones } = this.#state.replicaCounts(now, model);
    const maxLoss = this.#maxLossFor(desired);
    let best: RunnerChoice | undefined;
    let bestScore = Infinity;
    for (const runner of service.runners) {
      if (!this.#canTake(now, runner, model)) continue;
      if (reservedFor.some((model) => !runner.holds.has(model.name))) continue;
      const isDiskLoad = runner.modelsOnDisk.has(model.name);
      if (!isDiskLoad && !isStoreFree) continue;
      const freeMb = service.engine.capacityMb - this.#state.usedMb(runner);
      const neededMb = model.sizeMb - freeMb;
      const eviction = this.#eviction.planEviction(
        now,
        runner,
        neededMb,
        maxLoss,
        isUrgentGrowth(desired),
      );
      if (!eviction || (desired.kind === 'spare' && eviction.victims.length > 0)) continue;
      const choice = { runner, eviction, isDiskLoad };
      const score = this.#score(now, service, desired, zones, choice);
      if (score >= bestScore) continue;
      best = choice;
      bestScore = score;
    }
    return best;
  }

  /**
   * Whether a load that few requests wait for leaves some runners idle. A runner executes one order at a time, and a
   * load from the store may take seconds: while every runner is busy with one, a model with sudden high demand finds
   * none.
   */
  #hasRunnersInReserve(service: ServiceState): boolean {
    let inService = 0;
    let idle = 0;
    for (const runner of service.runners) {
      if (!this.#state.isInService(runner)) continue;
      inService += 1;
      if (runner.queue.length === 0) idle += 1;
    }
    return idle > Math.floor(inService * RESERVED_RUNNER_SHARE);
  }

  #canTake(now: Moment, runner: RunnerState, model: ModelState): boolean {
    const isFree = runner.queue.length === 0 && !runner.holds.has(model.name);
    return isFree && this.#state.isUsable(now, runner);
  }

  /** The highest loss to accept for a replica: its full gain if it is needed now, else a fraction of it. */
  #maxLossFor(desired: DesiredReplica): number {
    const isNeeded =
      desired.kind === 'waiting' ||
      isUrgentGrowth(desired) ||
      (desired.kind === 'lost' && desired.model.isBusy);
    return isNeeded ? desired.gain : desired.gain / this.#state.settings.worthRatio;
  }

  /** The cost of a choice; the lowest wins. */
  #score(
    now: Moment,
    service: ServiceState,
    desired: DesiredReplica,
    zones: ReadonlyMap<string, number>,
    { runner, eviction, isDiskLoad }: RunnerChoice,
  ): number {
    const isWaiting = desired.kind === 'waiting';
    // A further replica takes its share of a busy model's load: it goes to the runners with the lowest load.
    const relativeLoad = this.#state.slotUtilization(runner) / Math.max(0.01, service.meanLoad);
    return (
      eviction.loss +
      Math.min(3, relativeLoad) * (isWaiting ? 0.1 : 1) +
      (zones.get(runner.listed.zone) ?? 0) * (isWaiting ? 0 : 2) +
      (runner.coldUntil > now ? 1 : 0) -
      (isDiskLoad ? diskGain(service, desired.model) : 0) +
      eviction.victims.length * 0.05
    );
  }
}

/** Whether a replica serves more than one or two requests, so that it may use a reserved runner. */
function isUrgent(desired: DesiredReplica): boolean {
  return isUrgentGrowth(desired) || desired.model.isBusy || desired.model.waiting >= MIN_QUEUED;
}

/**
 * The gain of a load from a runner's own disk over one from the store: requests are served and the runner is free
 * sooner.
 */
function diskGain(service: ServiceState, model: ModelState): number {
  const savedMs = model.loadMs * (service.storeFactor - service.diskFactor);
  return Math.max(MIN_DISK_GAIN, (savedMs / 1000) * DISK_GAIN_PER_SECOND);
}
