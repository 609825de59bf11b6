import type { Fleet, FleetRunner, FleetWait } from '../../placement/fleet.js';
import type { Seeded } from '../../rehearsal/seeded.js';
import {
  ADAPTERS,
  adapterName,
  ENGINE_SERVICE,
  modelName,
  PLAIN_SERVICE,
  ZONES,
} from './drawn-routing.js';

const MOST_RUNNERS = 12;
const MOST_FLOWS = 12;
const ENGINE_SHARE = 0.7;

/** A fleet as a proxy is told of it, which changes a little with each word. */
export class DrawnFleet {
  readonly #random: Seeded;
  readonly #models: number;
  #runners: FleetRunner[] = [];
  #flows = 1;
  #count = 0;

  constructor(random: Seeded, models: number) {
    this.#random = random;
    this.#models = models;
    const runners = 4 + random.below(5);
    for (let place = 0; place < runners; place += 1) this.#runners.push(this.#newRunner());
  }

  get runners(): readonly FleetRunner[] {
    return this.#runners;
  }

  /** The fleet now; runners that did not change stay the very same objects. */
  get fleet(): Fleet {
    return { flows: this.#flows, runners: [...this.#runners], waits: this.#waits() };
  }

  /** Some runners change, one comes or goes, or the number of proxies does. */
  change(): void {
    const random = this.#random;
    if (random.isLikely(0.15)) this.#flows = 1 + random.below(MOST_FLOWS);
    if (random.isLikely(0.15) && this.#runners.length < MOST_RUNNERS) {
      this.#runners.push(this.#newRunner());
    }
    if (random.isLikely(0.1)) this.#runners.splice(random.below(this.#runners.length), 1);
    const changes = random.below(3);
    for (let change = 0; change < changes; change += 1) this.#changeRunner();
  }

  #changeRunner(): void {
    const random = this.#random;
    const place = random.below(this.#runners.length);
    const runner = this.#runners[place];
    if (!runner) return;
    const isEngine = runner.service === ENGINE_SERVICE;
    this.#runners[place] = {
      ...runner,
      isLeaving: random.isLikely(0.1),
      coldMs: random.isLikely(0.15) ? 500 + random.below(3000) : 0,
      holds: isEngine ? this.#holds() : [],
      coming: isEngine ? this.#waits() : [],
    };
  }

  #newRunner(): FleetRunner {
    const random = this.#random;
    this.#count += 1;
    const id = `r${this.#count}`;
    const isEngine = this.#count === 1 || (this.#count > 2 && random.isLikely(ENGINE_SHARE));
    return {
      id,
      address: `${id}:80`,
      zone: random.pick(ZONES) ?? '',
      service: isEngine ? ENGINE_SERVICE : PLAIN_SERVICE,
      slots: 1 + random.below(16),
      isLeaving: false,
      coldMs: random.isLikely(0.3) ? 2000 : 0,
      holds: isEngine ? this.#holds() : [],
      coming: [],
    };
  }

  #holds(): FleetRunner['holds'] {
    const random = this.#random;
    const holds: FleetRunner['holds'] = [];
    for (let place = 0; place < this.#models; place += 1) {
      if (!random.isLikely(0.5)) continue;
      const adapters: string[] = [];
      for (let other = 0; place === 0 && other < ADAPTERS; other += 1) {
        if (random.isLikely(0.3)) adapters.push(adapterName(other));
      }
      holds.push({ model: modelName(place), adapters });
    }
    return holds;
  }

  #waits(): FleetWait[] {
    const random = this.#random;
    const waits: FleetWait[] = [];
    while (waits.length < 3 && random.isLikely(0.4)) {
      const place = random.below(this.#models);
      const adapter =
        place === 0 && random.isLikely(0.5) ? adapterName(random.below(ADAPTERS)) : '';
      waits.push({ model: modelName(place), adapter, readyMs: random.below(8) * 150 });
    }
    return waits;
  }
}
