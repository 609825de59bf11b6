/** Engines, traffic and a small fleet for the planner's tests. */
import type { Engine } from '../../route/routing.js';
import { STEP, World, type WorldOptions } from './fake-fleet.js';

/** An engine with so many models, `m0` the only one with adapters. */
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

/** Asks for models by weights, so many a second. */
export class Traffic {
  readonly #weights: [string, number][];
  readonly #perSecond: number;
  readonly #priority: number;
  constructor(weights: Record<string, number>, perSecond: number, priority = 0) {
    this.#weights = Object.entries(weights);
    this.#perSecond = perSecond;
    this.#priority = priority;
  }
  each(world: World): void {
    if (world.dice.next() > (this.#perSecond * STEP) / 1000) return;
    let total = 0;
    for (const [, weight] of this.#weights) total += weight;
    let left = world.dice.next() * total;
    for (const [key, weight] of this.#weights) {
      left -= weight;
      if (left > 0) continue;
      const [model = '', adapter = ''] = key.split('/');
      world.ask(model, adapter, this.#priority);
      return;
    }
  }
}

/** Both ask. */
export function both(one: Traffic, other: Traffic, world: World): void {
  one.each(world);
  other.each(world);
}

/** Models that are asked for equally seldom. */
export function rareWeights(from: number, to: number): Record<string, number> {
  const weights: Record<string, number> = {};
  for (let index = from; index < to; index += 1) weights[`m${index}`] = 1;
  return weights;
}

/** A small site: busy models on several runners, rare ones that do not all fit. */
export function smallSite(seed: number, change: Partial<WorldOptions> = {}): World {
  const world = new World({
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
  for (const runner of world.runners.keys()) {
    world.hold(runner, index % 2 === 0 ? 'm0' : 'm1');
    world.hold(runner, `m${rare}`, `m${rare + 1}`);
    rare += 2;
    index += 1;
  }
  world.run(1000);
  return world;
}
