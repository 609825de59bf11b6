/** Engines, request traffic and a small fleet for the planner's tests. */
import type { Engine } from '../../route/routing.js';
import { STEP_MS, FakeFleet, type FakeFleetOptions } from './fake-fleet.js';

/** An engine with the given number of models; only `m0` has adapters. */
export function engineOf(models: number, change: Partial<Engine> = {}): Engine {
  const list: Engine['models'][number][] = [];
  for (let index = 0; index < models; index += 1)
    list.push({
      name: `m${index}`,
      sizeMb: index % 2 === 0 ? 72_700 : 65_100,
      loadMs: 600,
      adapters: index === 0 ? 40 : 0,
      adapterSizeMb: 66,
    });
  return {
    slots: 32,
    cacheTokens: 200_000,
    models: list,
    capacityMb: 220_000,
    adapterSlots: 8,
    loadsPerSecond: 6.8,
    ...change,
  };
}

/** Requests models at random by weights, at a mean rate per second. */
export class Traffic {
  readonly #weights: [string, number][];
  readonly #perSecond: number;
  readonly #priority: number;
  constructor(weights: Record<string, number>, perSecond: number, priority = 0) {
    this.#weights = Object.entries(weights);
    this.#perSecond = perSecond;
    this.#priority = priority;
  }
  /** Sends at most one request in a step of virtual time. */
  sendDue(fleet: FakeFleet): void {
    if (fleet.random.next() > (this.#perSecond * STEP_MS) / 1000) return;
    let total = 0;
    for (const [, weight] of this.#weights) total += weight;
    let left = fleet.random.next() * total;
    for (const [key, weight] of this.#weights) {
      left -= weight;
      if (left > 0) continue;
      const [model = '', adapter = ''] = key.split('/');
      fleet.request(model, adapter, this.#priority);
      return;
    }
  }
}

/** Sends the due requests of both traffic sources. */
export function sendBoth(one: Traffic, other: Traffic, fleet: FakeFleet): void {
  one.sendDue(fleet);
  other.sendDue(fleet);
}

/** Equal weights for the models `from` to `to - 1`. */
export function rareWeights(from: number, to: number): Record<string, number> {
  const weights: Record<string, number> = {};
  for (let index = from; index < to; index += 1) weights[`m${index}`] = 1;
  return weights;
}

/** A fleet of nine runners: busy models on several of them, and more rare models than fit. */
export function smallFleet(seed: number, change: Partial<FakeFleetOptions> = {}): FakeFleet {
  const fleet = new FakeFleet({
    engine: engineOf(39),
    zones: ['a', 'b', 'c'],
    runnersPerZone: 3,
    seed,
    slots: 64,
    serveMs: 400,
    ...change,
  });
  let rare = 5;
  let index = 0;
  for (const runner of fleet.runners.keys()) {
    fleet.addHolds(runner, index % 2 === 0 ? 'm0' : 'm1');
    fleet.addHolds(runner, `m${rare}`, `m${rare + 1}`);
    rare += 2;
    index += 1;
  }
  fleet.run(1000);
  return fleet;
}
