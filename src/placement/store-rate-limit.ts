import type { PlacementState } from './placement-state.js';
import type { Moment } from '../common/ids.js';
import {
  type Order,
  type WantKind,
  type ModelState,
  type ServiceState,
} from './planner-records.js';

/** How many loads the weight store may begin and do at once, and how long they take. */
export class StoreRateLimit {
  readonly #state: PlacementState;

  constructor(state: PlacementState) {
    this.#state = state;
  }

  /** How long a load is expected to take, ms. */
  expectedMs(op: Order): number {
    const service = op.model.service;
    if (op.intent.adapter !== '') return service.adapterMs;
    if (!op.isStore) return op.model.loadMs * service.diskFactor;
    return op.model.loadMs * service.storeFactor * this.#slowdown(service, op.model);
  }

  /** Loads beyond what the store does at full speed all take longer. */
  #slowdown(service: ServiceState, model: ModelState): number {
    return Math.max(1, service.storeOps / this.#storeLimit(service, model));
  }

  #storeLimit(service: ServiceState, model: ModelState): number {
    return Math.max(1, Math.round((service.engine.loadsPerSecond * model.loadMs) / 1000));
  }

  /** Loads that may begin within the span over which the ceiling counts. */
  budget(service: ServiceState): number {
    const { capWindowMs, capExcess } = this.#state.settings;
    // Half of the excess stays unused: a load may begin a little before or after we think.
    return Math.max(
      1,
      Math.floor((service.engine.loadsPerSecond * capWindowMs * (1 + (capExcess - 1) / 2)) / 1000),
    );
  }

  /** Whether a load of this kind may be decided on now. */
  storeFree(
    now: Moment,
    service: ServiceState,
    model: ModelState,
    kind: WantKind,
    isPressed: boolean,
  ): boolean {
    const budget = this.budget(service);
    const used = service.window.used(now) + service.storeOps;
    const limit = this.#storeLimit(service, model);
    // What nobody waits for leaves room for what somebody will.
    if (kind === 'spare') return used < budget * 0.6 && service.storeOps < Math.max(1, limit - 1);
    if (used >= budget) {
      this.#state.blockedUntil = Math.min(
        this.#state.blockedUntil,
        service.window.freeAt(now, budget),
      );
      return false;
    }
    // The store does two more at a somewhat slower pace.
    return service.storeOps < limit + (isPressed ? 1 : 0);
  }
}
