import type { SimOutside } from './sim-outside.js';
import {
  MAX_CONCURRENT_LOADS,
  RUNNER_CAPACITY,
  RUNNERS,
  type SimulatedFleet,
  type FaultTargets,
} from './simulated-fleet.js';

/** Kinds of troubles of the platform's list, of room at runners and of the weight store. */
export const PLATFORM_TROUBLES = [
  'shrink-room',
  'lower-limit',
  'platform-down',
  'odd-list',
] as const;
type PlatformTroubleKind = (typeof PLATFORM_TROUBLES)[number];

const SMALL_ROOM = 15;
/** A lowered limit lasts longer, so that loads meet it, ms. */
const LIMIT_SLACK_MS = 7000;

/** Troubles of the platform's list, of room at runners and of the weight store. */
export class PlatformTroubles {
  readonly #stage: SimulatedFleet;

  constructor(stage: SimulatedFleet) {
    this.#stage = stage;
  }

  bringAbout(kind: PlatformTroubleKind, { runner, spanMs }: FaultTargets): void {
    const { scheduler, outside, seeded } = this.#stage;
    switch (kind) {
      case 'shrink-room':
        outside.setRoom(runner, SMALL_ROOM);
        scheduler.after(spanMs, () => outside.setRoom(runner, RUNNER_CAPACITY));
        break;
      case 'lower-limit':
        outside.orders.setLimit(1);
        scheduler.after(spanMs + LIMIT_SLACK_MS, () =>
          outside.orders.setLimit(MAX_CONCURRENT_LOADS),
        );
        break;
      case 'platform-down':
        outside.platform.isUp = false;
        scheduler.after(spanMs, () => listAgain(outside));
        break;
      case 'odd-list':
        outside.platform.oddList = seeded.isLikely(0.5) ? 'empty' : 'old';
        scheduler.after(spanMs, () => listAgain(outside));
        break;
    }
  }

  /** Ends what troubles did to the list and the weight store. */
  heal(): void {
    listAgain(this.#stage.outside);
    this.#stage.outside.orders.setLimit(MAX_CONCURRENT_LOADS);
  }

  /** Gives runners their room back. */
  healRoom(): void {
    for (const runner of RUNNERS) this.#stage.outside.setRoom(runner, RUNNER_CAPACITY);
  }
}

function listAgain(outside: SimOutside): void {
  outside.platform.isUp = true;
  outside.platform.oddList = 'none';
}
