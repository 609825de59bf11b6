import type { PlacementState } from './placement-state.js';
import type { Moment } from '../common/ids.js';
import {
  type Order,
  type DesiredReplicaKind,
  type ModelState,
  type ServiceState,
} from './planner-records.js';

/** Limits the starts and the concurrency of loads from the weight store, and estimates their duration. */
export class StoreRateLimit {
  readonly #state: PlacementState;

  constructor(state: PlacementState) {
    this.#state = state;
  }

  /** The expected duration of a load, ms. */
  expectedMs(order: Order): number {
    const service = order.model.service;
    if (order.intent.adapter !== '') return service.adapterLoadMs;
    if (!order.isStoreLoad) return order.model.loadMs * service.diskFactor;
    return order.model.loadMs * service.storeFactor * this.#slowdown(service, order.model);
  }

  /** More concurrent loads than the store serves at full speed slow all of them down. */
  #slowdown(service: ServiceState, model: ModelState): number {
    return Math.max(1, service.pendingStoreLoads / this.#maxFullSpeedLoads(service, model));
  }

  #maxFullSpeedLoads(service: ServiceState, model: ModelState): number {
    return Math.max(1, Math.round((service.engine.loadsPerSecond * model.loadMs) / 1000));
  }

  /** The number of loads that may start within the window of the store's rate limit (`capWindowMs`). */
  windowBudget(service: ServiceState): number {
    const { capWindowMs, capExcess } = this.#state.settings;
    // Half of the allowed excess stays unused: a load may start slightly before or after the time recorded here.
    return Math.max(
      1,
      Math.floor((service.engine.loadsPerSecond * capWindowMs * (1 + (capExcess - 1) / 2)) / 1000),
    );
  }

  /** Whether a load from the store for a replica of this kind may be scheduled now. */
  mayLoad(
    now: Moment,
    service: ServiceState,
    model: ModelState,
    kind: DesiredReplicaKind,
    isUrgent: boolean,
  ): boolean {
    const budget = this.windowBudget(service);
    const used = service.storeLoadWindow.used(now) + service.pendingStoreLoads;
    const maxLoads = this.#maxFullSpeedLoads(service, model);
    // Spare replicas leave capacity for loads that requests will wait for.
    if (kind === 'spare')
      return used < budget * 0.6 && service.pendingStoreLoads < Math.max(1, maxLoads - 1);
    if (used >= budget) {
      this.#state.blockedUntil = Math.min(
        this.#state.blockedUntil,
        service.storeLoadWindow.freeAt(now, budget),
      );
      return false;
    }
    // The store accepts loads beyond its full-speed limit at a somewhat lower speed.
    return service.pendingStoreLoads < maxLoads + (isUrgent ? 1 : 0);
  }
}
