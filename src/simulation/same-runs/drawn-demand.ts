import type { FleetDemand } from '../../placement/fleet.js';
import type { Seeded } from '../../rehearsal/seeded.js';
import { ADAPTERS, adapterName, ENGINE_SERVICE, modelName } from './drawn-routing.js';
import type { DrawnRunner } from './drawn-runner.js';

type Unit = FleetDemand['units'][number];

const MOST_COUNT = 8;
const MOST_RUNNING = 40;

/** What proxies ask for: few models much and the others little; which they are changes now and then. */
export class DrawnDemand {
  readonly #random: Seeded;
  readonly #models: number;
  /** The place of the model that is asked for most; the next ones follow in turn. */
  #first = 0;

  constructor(random: Seeded, models: number) {
    this.#random = random;
    this.#models = models;
  }

  shift(): void {
    this.#first = this.#random.below(this.#models);
  }

  /** One proxy's word: what no runner serves waits, the rest runs. */
  report(flow: string, runners: Iterable<DrawnRunner>): FleetDemand {
    const units = new Map<string, Unit>();
    const list = [...runners];
    const most = 1 + this.#random.below(5);
    for (let unit = 0; unit < most; unit += 1) {
      const drawn = this.#unit(list);
      units.set(`${drawn.model}/${drawn.adapter}`, drawn);
    }
    return { flow, units: [...units.values()] };
  }

  #unit(runners: readonly DrawnRunner[]): Unit {
    const random = this.#random;
    const place = (this.#first + Math.floor(this.#models * random.next() ** 3)) % this.#models;
    const model = modelName(place);
    const adapter = place === 0 && random.isLikely(0.7) ? adapterName(random.below(ADAPTERS)) : '';
    const isServed = runners.some(servesUnit, { model, adapter });
    const isWaiting = !isServed || random.isLikely(0.05);
    return {
      service: ENGINE_SERVICE,
      model,
      adapter,
      count: random.below(MOST_COUNT),
      waiting: isWaiting ? 1 + random.below(MOST_COUNT) : 0,
      running: isServed ? Math.floor(MOST_RUNNING * random.next() ** 2) : 0,
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
