import type { PlacementState } from './placement-state.js';
import type { Eviction } from './eviction.js';
import type { Moment } from '../common/ids.js';
import { spreadShareOf } from './spread-share.js';
import {
  isUrgentGrowth,
  type ReplicaCounts,
  type ModelState,
  type ServiceState,
  type DesiredReplica,
} from './planner-records.js';

/** A model not requested for this long needs at most one replica. */
const IDLE_MODEL_MS = 30_000;
/** A model lost or requested within this time is likely to be requested again. */
const RECENT_DEMAND_MS = 10_000;

/** The combined capacity of a service's runners that are in service. */
interface Capacity {
  runnersInService: number;
  slots: number;
  maxFreeMb: number;
  load: number;
  /** The share of the runners over which models are spread by their share of requests. */
  readonly spreadShare: number;
  readonly zones: Set<string>;
}

/** Compares the replicas of each model with its load, and determines which further replicas would be useful. */
export class ReplicaDemand {
  readonly #state: PlacementState;
  readonly #eviction: Eviction;

  constructor(state: PlacementState, eviction: Eviction) {
    this.#state = state;
    this.#eviction = eviction;
  }

  /** All further replicas that would be useful now, most urgent first. */
  desiredReplicas(now: Moment, service: ServiceState): DesiredReplica[] {
    const desired: DesiredReplica[] = [];
    for (const model of service.waitingModels) {
      const waitingReplica = this.#waitingReplica(now, model);
      if (waitingReplica) desired.push(waitingReplica);
    }
    if (now - service.replicasComparedAt >= this.#state.settings.growMs) {
      service.replicasComparedAt = now;
      const additional: DesiredReplica[] = [];
      this.#addReplicas(now, service, additional);
      service.urgentGrowth = additional.filter(isUrgentGrowth);
      desired.push(...additional);
    } else desired.push(...service.urgentGrowth);
    return desired.sort(compareByRank);
  }

  /** The replica for a model with waiting requests that no runner holds, or that no holder actually serves. */
  #waitingReplica(now: Moment, model: ModelState): DesiredReplica | undefined {
    const { despiteMs, rankMs } = this.#state.settings;
    if (model.rejectedUntil > now || this.#state.hasRestoredLoad(now, model)) return undefined;
    let counts = this.#state.replicaCounts(now, model);
    if (counts.all > 0) {
      // With many replicas ready, requests wait for a free slot at one of them.
      if (counts.ready < counts.all || counts.all > 2 || !this.#hasRequestWaitingForModel(model))
        return undefined;
      if (now - model.waitingSince < despiteMs) return undefined;
      for (const loadedModel of model.holders.values())
        if (model.waitingReportedAt - loadedModel.since < despiteMs) return undefined;
      for (const loadedModel of model.holders.values())
        loadedModel.suspectedUntil = now + despiteMs * 5;
      counts = this.#state.replicaCounts(now, model);
    }
    if (counts.all > 0) return undefined;
    model.unservedSince ??= now;
    const unservedMs = now - model.unservedSince;
    // Many waiting requests precede a single one of higher priority: a priority step weighs about as much as twice the
    // number of waiting requests. A model passed over for a long time improves its rank.
    const rank =
      model.priority -
      Math.floor(Math.log2(Math.max(1, model.waiting))) -
      Math.floor(unservedMs / rankMs);
    return {
      model,
      kind: 'waiting',
      rank,
      missingSince: model.unservedSince,
      gain:
        1 +
        Math.min(30, model.waiting) * 0.5 +
        (2 * unservedMs) / rankMs +
        this.#state.slowRate(now, model),
    };
  }

  /** Whether a request waits for the model itself, not for one of its adapters. */
  #hasRequestWaitingForModel(model: ModelState): boolean {
    let waitingForAdapters = 0;
    for (const adapter of model.adapters.values())
      waitingForAdapters += Math.max(0, adapter.waiting);
    return model.waiting > waitingForAdapters;
  }

  /** The number of replicas that a model's load needs now, as a fraction. */
  #requiredReplicas(
    now: Moment,
    model: ModelState,
    { runnersInService, slots, spreadShare }: Capacity,
  ): number {
    const { fastMs, slotShare, growMs } = this.#state.settings;
    const totalWeight = model.service.totalRate.weight(now, fastMs);
    // With only a few requests, shares are not significant.
    const share = totalWeight >= 10 ? model.fastRate.weight(now, fastMs) / totalWeight : 0;
    model.meanRunning +=
      (Math.max(0, model.running) - model.meanRunning) * Math.min(1, growMs / 1000);
    const slotsPerRunner = slots / runnersInService;
    const byRunning = slotsPerRunner > 0 ? model.meanRunning / (slotsPerRunner * slotShare) : 0;
    const byShare = share * runnersInService * spreadShare;
    // With slow responses many requests run at once, and more than two replicas beyond the share make nothing faster.
    return Math.min(
      runnersInService,
      Math.max(
        byShare,
        Math.min(byRunning, byShare + 2),
        this.#requiredForAdapters(now, model, runnersInService),
      ),
    );
  }

  /** Replicas that a model's adapters need: those requested within `adapterWindowMs` should all have slots. */
  #requiredForAdapters(now: Moment, model: ModelState, runnersInService: number): number {
    const { slowMs, adapterWindowMs } = this.#state.settings;
    const slots = model.service.engine.adapterSlots;
    if (!model.isBusy || model.adapters.size === 0 || slots <= 0) return 0;
    let expectedAdapters = 0;
    for (const adapter of model.adapters.values())
      expectedAdapters += Math.min(
        1,
        (adapter.slowRate.perSecond(now, slowMs, model.service.firstDemandAt ?? now) *
          adapterWindowMs) /
          1000,
      );
    return Math.min(runnersInService / 2, expectedAdapters / (slots * 0.8));
  }

  #addReplicas(now: Moment, service: ServiceState, desired: DesiredReplica[]): void {
    const capacity = this.#capacityOf(service);
    if (capacity.runnersInService === 0) return;
    service.meanLoad = capacity.load / capacity.runnersInService;
    for (const model of service.models.values()) {
      if (!model.isListed || (now - model.lastRequestedAt > IDLE_MODEL_MS && model.running <= 0)) {
        model.neededReplicas = 1;
        model.isBusy = false;
        continue;
      }
      const justifiedReplicas = this.#updateNeed(now, model, capacity);
      const counts = this.#state.replicaCounts(now, model);
      if (counts.all === 0) this.#addFirstReplica(now, model, capacity, desired);
      else this.#addFurtherReplicas(now, model, counts, justifiedReplicas, capacity, desired);
    }
  }

  #capacityOf(service: ServiceState): Capacity {
    const capacity: Capacity = {
      runnersInService: 0,
      slots: 0,
      maxFreeMb: 0,
      load: 0,
      spreadShare: spreadShareOf(service, this.#state.settings),
      zones: new Set(),
    };
    for (const runner of service.runners) {
      if (!this.#state.isInService(runner)) continue;
      capacity.runnersInService += 1;
      capacity.slots += runner.listed.slots;
      capacity.zones.add(runner.listed.zone);
      capacity.load += this.#state.slotUtilization(runner);
      if (runner.queue.length > 0) continue;
      const free = service.engine.capacityMb - this.#state.usedMb(runner);
      capacity.maxFreeMb = Math.max(capacity.maxFreeMb, free);
    }
    return capacity;
  }

  /** Updates the replicas that a model needs, and returns the number that its present load justifies. */
  #updateNeed(now: Moment, model: ModelState, capacity: Capacity): number {
    const { runnersInService } = capacity;
    const { slowMs, shrinkMs } = this.#state.settings;
    const required = this.#requiredReplicas(now, model, capacity);
    // The need grows at once and shrinks slowly, since replicas would otherwise be loaded and unloaded in turns.
    const decayed = model.neededReplicas * Math.exp(-(now - model.needUpdatedAt) / shrinkMs);
    const requiredWithDecay = Math.max(required, decayed);
    const becomesBusy =
      model.slowRate.weight(now, slowMs) >= 6 &&
      (required >= 0.5 || this.#state.fastRate(now, model) >= 4);
    const staysBusy =
      model.isBusy && (requiredWithDecay >= 0.3 || this.#state.slowRate(now, model) >= 2);
    model.isBusy = becomesBusy || staysBusy;
    const minReplicas = model.isBusy ? 2 : 1;
    model.neededReplicas = Math.min(runnersInService, Math.max(minReplicas, requiredWithDecay));
    model.needUpdatedAt = now;
    this.#clearUnserved(now, model);
    return Math.min(runnersInService, Math.max(minReplicas, required));
  }

  /** Ends the unserved time of a model once no requests wait for it and none arrived recently. */
  #clearUnserved(now: Moment, model: ModelState): void {
    if (model.waiting > 0 || model.unservedSince === undefined) return;
    if (now - model.lastRequestedAt <= RECENT_DEMAND_MS) return;
    model.unservedSince = undefined;
    this.#state.modelsToRecord.add(model);
  }

  /** Adds a replica for a model that has none and no waiting requests yet. */
  #addFirstReplica(
    now: Moment,
    model: ModelState,
    capacity: Capacity,
    desired: DesiredReplica[],
  ): void {
    if (model.waiting > 0 || this.#state.hasRestoredLoad(now, model)) return;
    if (this.#state.slowRate(now, model) < 0.05) return;
    const gain = this.#eviction.lossOfLastReplica(now, model);
    // Lost with a runner, not evicted: reloaded so that the next request need not wait.
    if (model.isBusy) desired.push({ model, kind: 'lost', rank: 0, missingSince: 0, gain });
    else if (now - model.lastReplicaLostAt < RECENT_DEMAND_MS)
      desired.push({ model, kind: 'lost', rank: 4, missingSince: 0, gain });
    else if (capacity.maxFreeMb >= model.sizeMb)
      desired.push({ model, kind: 'spare', rank: 5, missingSince: 0, gain });
  }

  /** Adds replicas for a model that has fewer than its load justifies, or all of them in one zone. */
  #addFurtherReplicas(
    now: Moment,
    model: ModelState,
    counts: ReplicaCounts,
    justifiedReplicas: number,
    capacity: Capacity,
    desired: DesiredReplica[],
  ): void {
    const missing = Math.max(0, justifiedReplicas - counts.all);
    const isZoneRedundant = !model.isBusy || capacity.zones.size < 2 || counts.zones.size > 1;
    // Replicas are added only once at least half a replica is missing.
    if (missing < 0.5 && isZoneRedundant) return;
    const rate = this.#state.fastRate(now, model);
    const gain = (rate / (counts.all + 1)) * 0.3 * (isZoneRedundant ? Math.min(1, missing) : 1);
    const count = isZoneRedundant ? Math.min(3, Math.max(1, Math.round(missing))) : 1;
    const rank = gain >= 3 ? 0.5 : 3;
    for (let index = 0; index < count; index += 1)
      desired.push({ model, kind: 'grow', rank, missingSince: 0, gain: gain / (index + 1) });
  }
}

function compareByRank(a: DesiredReplica, b: DesiredReplica): number {
  return (
    a.rank - b.rank ||
    a.missingSince - b.missingSince ||
    b.gain - a.gain ||
    (a.model.key < b.model.key ? -1 : 1)
  );
}
