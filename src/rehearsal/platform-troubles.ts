import type { SimOutside } from './sim-outside.js';
import { LOADS_AT_ONCE, RUNNER_ROOM, RUNNERS, type Stage, type Strike } from './stage.js';

/** The kinds of faults of the platform's list, of runners' capacity and of the weight store. */
export const PLATFORM_TROUBLES = [
  'shrink-room',
  'lower-limit',
  'platform-down',
  'odd-list',
] as const;
type PlatformTroubleKind = (typeof PLATFORM_TROUBLES)[number];

/** A runner's reduced capacity, in the unit of models' sizes. */
const SMALL_ROOM = 15;
/** How much longer a lowered limit lasts, so that loads coincide with it, ms. */
const EXTRA_LIMIT_MS = 7000;

/** Injects faults of the platform's list, of runners' capacity and of the weight store. */
export class PlatformTroubles {
  readonly #stage: Stage;

  constructor(stage: Stage) {
    this.#stage = stage;
  }

  /** Injects one fault of a kind. */
  bringAbout(kind: PlatformTroubleKind, { runner, spanMs }: Strike): void {
    const { scheduler, outside, seeded } = this.#stage;
    switch (kind) {
      case 'shrink-room':
        outside.setRoom(runner, SMALL_ROOM);
        scheduler.after(spanMs, () => outside.setRoom(runner, RUNNER_ROOM));
        break;
      case 'lower-limit':
        outside.orders.setLimit(1);
        scheduler.after(spanMs + EXTRA_LIMIT_MS, () => outside.orders.setLimit(LOADS_AT_ONCE));
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
    this.#stage.outside.orders.setLimit(LOADS_AT_ONCE);
  }

  /** Restores the capacity of all runners. */
  healRoom(): void {
    for (const runner of RUNNERS) this.#stage.outside.setRoom(runner, RUNNER_ROOM);
  }
}

function restoreList(outside: SimOutside): void {
  outside.platform.isUp = true;
  outside.platform.oddList = 'none';
}
