import type { Fleet, FleetRunner, FleetWait } from '../../placement/fleet.js';
import type { SeededRandom } from '../../rehearsal/seeded-random.js';
import {
  ADAPTERS,
  adapterName,
  ENGINE_SERVICE,
  modelName,
  PLAIN_SERVICE,
  ZONES,
} from './drawn-routing.js';

const MAX_RUNNERS = 12;
const MAX_PROXIES = 12;
const ENGINE_SHARE = 0.7;

/** Draws the fleet that a proxy receives, which changes slightly with each update. */
export class DrawnFleet {
  readonly #random: SeededRandom;
  readonly #modelCount: number;
  #runners: FleetRunner[] = [];
  #proxyCount = 1;
  #createdRunners = 0;

  constructor(random: SeededRandom, models: number) {
    this.#random = random;
    this.#modelCount = models;
    const runners = 4 + random.below(5);
    for (let index = 0; index < runners; index += 1) this.#runners.push(this.#newRunner());
  }

  /** The current runners. */
  get runners(): readonly FleetRunner[] {
    return this.#runners;
  }

  /** The current fleet; runners that did not change are identical objects. */
  get fleet(): Fleet {
    return { flows: this.#proxyCount, runners: [...this.#runners], waits: this.#drawWaits() };
  }

  /** Changes some runners, adds or removes one, or changes the number of proxies. */
  change(): void {
    const random = this.#random;
    if (random.isLikely(0.15)) this.#proxyCount = 1 + random.below(MAX_PROXIES);
    if (random.isLikely(0.15) && this.#runners.length < MAX_RUNNERS) {
      this.#runners.push(this.#newRunner());
    }
    if (random.isLikely(0.1)) this.#runners.splice(random.below(this.#runners.length), 1);
    const changes = random.below(3);
    for (let change = 0; change < changes; change += 1) this.#changeRunner();
  }

  #changeRunner(): void {
    const random = this.#random;
    const index = random.below(this.#runners.length);
    const runner = this.#runners[index];
    if (!runner) return;
    const isEngine = runner.service === ENGINE_SERVICE;
    this.#runners[index] = {
      ...runner,
      isLeaving: random.isLikely(0.1),
      coldMs: random.isLikely(0.15) ? 500 + random.below(3000) : 0,
      holds: isEngine ? this.#drawHolds() : [],
      coming: isEngine ? this.#drawWaits() : [],
    };
  }

  #newRunner(): FleetRunner {
    const random = this.#random;
    this.#createdRunners += 1;
    const id = `r${this.#createdRunners}`;
    const isEngine =
      this.#createdRunners === 1 || (this.#createdRunners > 2 && random.isLikely(ENGINE_SHARE));
    return {
      id,
      address: `${id}:80`,
      zone: random.pick(ZONES) ?? '',
      service: isEngine ? ENGINE_SERVICE : PLAIN_SERVICE,
      slots: 1 + random.below(16),
      isLeaving: false,
      coldMs: random.isLikely(0.3) ? 2000 : 0,
      holds: isEngine ? this.#drawHolds() : [],
      coming: [],
    };
  }

  #drawHolds(): FleetRunner['holds'] {
    const random = this.#random;
    const holds: FleetRunner['holds'] = [];
    for (let index = 0; index < this.#modelCount; index += 1) {
      if (!random.isLikely(0.5)) continue;
      const adapters: string[] = [];
      for (let adapter = 0; index === 0 && adapter < ADAPTERS; adapter += 1) {
        if (random.isLikely(0.3)) adapters.push(adapterName(adapter));
      }
      holds.push({ model: modelName(index), adapters });
    }
    return holds;
  }

  #drawWaits(): FleetWait[] {
    const random = this.#random;
    const waits: FleetWait[] = [];
    while (waits.length < 3 && random.isLikely(0.4)) {
      const index = random.below(this.#modelCount);
      const adapter =
        index === 0 && random.isLikely(0.5) ? adapterName(random.below(ADAPTERS)) : '';
      waits.push({ model: modelName(index), adapter, readyMs: random.below(8) * 150 });
    }
    return waits;
  }
}
