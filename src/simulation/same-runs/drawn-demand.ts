import type { FleetDemand } from '../../placement/fleet.js';
import type { SeededRandom } from '../../rehearsal/seeded-random.js';
import { ADAPTERS, adapterName, ENGINE_SERVICE, modelName } from './drawn-routing.js';
import type { DrawnRunner } from './drawn-runner.js';

type Unit = FleetDemand['units'][number];

const MAX_REQUEST_COUNT = 8;
const MAX_RUNNING_REQUESTS = 40;

/**
 * Draws the demand reported by proxies: high for few models and low for the others; the hot models change now and then.
 */
export class DrawnDemand {
  readonly #random: SeededRandom;
  readonly #modelCount: number;
  /** The index of the model with the highest demand; the following models have less and less. */
  #hottestModel = 0;

  constructor(random: SeededRandom, models: number) {
    this.#random = random;
    this.#modelCount = models;
  }

  /** Draws another model with the highest demand. */
  shift(): void {
    this.#hottestModel = this.#random.below(this.#modelCount);
  }

  /** Draws a report of one proxy: requests for units that no runner serves wait, the others run. */
  report(proxy: string, runners: Iterable<DrawnRunner>): FleetDemand {
    const units = new Map<string, Unit>();
    const runnerList = [...runners];
    const unitDraws = 1 + this.#random.below(5);
    for (let unit = 0; unit < unitDraws; unit += 1) {
      const drawn = this.#drawUnit(runnerList);
      units.set(`${drawn.model}/${drawn.adapter}`, drawn);
    }
    return { flow: proxy, units: [...units.values()] };
  }

  #drawUnit(runners: readonly DrawnRunner[]): Unit {
    const random = this.#random;
    const index =
      (this.#hottestModel + Math.floor(this.#modelCount * random.next() ** 3)) % this.#modelCount;
    const model = modelName(index);
    const adapter = index === 0 && random.isLikely(0.7) ? adapterName(random.below(ADAPTERS)) : '';
    const isServed = runners.some(servesUnit, { model, adapter });
    const isWaiting = !isServed || random.isLikely(0.05);
    return {
      service: ENGINE_SERVICE,
      model,
      adapter,
      count: random.below(MAX_REQUEST_COUNT),
      waiting: isWaiting ? 1 + random.below(MAX_REQUEST_COUNT) : 0,
      running: isServed ? Math.floor(MAX_RUNNING_REQUESTS * random.next() ** 2) : 0,
      ...(random.isLikely(0.9) ? { priority: random.below(10) } : {}),
    };
  }
}

function servesUnit(
  this: { readonly model: string; readonly adapter: string },
  runner: DrawnRunner,
): boolean {
  return runner.serves(this.model, this.adapter);
}
