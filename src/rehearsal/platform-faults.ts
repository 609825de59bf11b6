import type { SimEnvironment } from './sim-environment.js';
import {
  MAX_LOADS,
  RUNNER_CAPACITY,
  RUNNERS,
  type SimulatedFleet,
  type FaultTargets,
} from './simulated-fleet.js';

/** The kinds of faults of the platform's list, of runners' capacity and of the weight store. */
export const PLATFORM_FAULTS = ['shrink-room', 'lower-limit', 'platform-down', 'odd-list'] as const;
type PlatformFaultKind = (typeof PLATFORM_FAULTS)[number];

/** A runner's reduced capacity, in the unit of models' sizes. */
const SMALL_ROOM = 15;
/** How much longer a lowered limit lasts, so that loads coincide with it, ms. */
const EXTRA_LIMIT_MS = 7000;

/** Injects faults of the platform's list, of runners' capacity and of the weight store. */
export class PlatformFaults {
  readonly #stage: SimulatedFleet;

  constructor(stage: SimulatedFleet) {
    this.#stage = stage;
  }

  /** Injects one fault of a kind. */
  inject(kind: PlatformFaultKind, { runner, spanMs }: FaultTargets): void {
    const { scheduler, outside, seeded } = this.#stage;
    switch (kind) {
      case 'shrink-room':
        outside.setRoom(runner, SMALL_ROOM);
        scheduler.after(spanMs, () => outside.setRoom(runner, RUNNER_CAPACITY));
        break;
      case 'lower-limit':
        outside.orders.setLimit(1);
        scheduler.after(spanMs + EXTRA_LIMIT_MS, () => outside.orders.setLimit(MAX_LOADS));
        break;
      case 'platform-down':
        outside.platform.isUp = false;
        scheduler.after(spanMs, () => restoreList(outside));
        break;
      case 'odd-list':
        outside.platform.oddList = seeded.isLikely(0.5) ? 'empty' : 'old';
        scheduler.after(spanMs, () => restoreList(outside));
        break;
    }
  }

  /** Ends all faults of the list and the weight store. */
  heal(): void {
    restoreList(this.#stage.outside);
    this.#stage.outside.orders.setLimit(MAX_LOADS);
  }

  /** Restores the capacity of all runners. */
  healRoom(): void {
    for (const runner of RUNNERS) this.#stage.outside.setRoom(runner, RUNNER_CAPACITY);
  }
}

function restoreList(outside: SimEnvironment): void {
  outside.platform.isUp = true;
  outside.platform.oddList = 'none';
}
