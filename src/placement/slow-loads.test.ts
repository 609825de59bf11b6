/** Decisions that matter where a load takes seconds, and every runner can do only one at a time. */
import { expect, test } from 'vitest';
import { World } from './testing/fake-fleet.js';
import { engineOf, Traffic } from './testing/fleet-traffic.js';

const SLOW_LOAD_MS = 4000;

/** Eight runners in two zones, each with three models; ten more models are held by nobody. */
function slowSite(): World {
  const fast = engineOf(34);
  const models = fast.models.map((model) => ({ ...model, loadMs: SLOW_LOAD_MS }));
  const world = new World({
    engine: { ...fast, models, loadsPerSecond: 17 },
    zones: ['a', 'b'],
    runnersPerZone: 4,
    seed: 3,
    slots: 48,
    diskFactor: 0.2,
  });
  let model = 0;
  for (const runner of world.runners.keys()) {
    world.hold(runner, `m${model}`, `m${model + 1}`, `m${model + 2}`);
    model += 3;
  }
  world.run(1000);
  return world;
}

function firstLoadOf(world: World, model: string): number {
  const order = world.orders.find(
    ({ intent, outcome }) =>
      intent.verb === 'load' && intent.model === model && outcome === 'taken',
  );
  return order?.at ?? Infinity;
}

test('a crowd finds a free runner while rare models are being loaded', () => {
  const world = slowSite();
  for (let rare = 24; rare < 33; rare += 1) world.ask(`m${rare}`, '', 0, 12_000);
  world.run(500);
  for (let request = 0; request < 6; request += 1) world.ask('m33', '', 1, 12_000);
  const askedAt = world.now;
  world.run(1000);
  expect(firstLoadOf(world, 'm33') - askedAt).toBeLessThan(500);
  // The others are served as well, once runners are free again.
  world.run(9000);
  expect(world.missed.size).toBe(0);
  expect(world.breaks).toEqual([]);
});

test('a crowd goes before one who waited before it, though that one is more urgent', () => {
  const world = new World({ engine: engineOf(6), zones: ['a'], runnersPerZone: 1 });
  world.hold('r1', 'm0', 'm1', 'm2');
  world.run(1000);
  // Nothing can be loaded for a moment.
  world.emptied = ['a'];
  world.run(100);
  world.ask('m4', '', 0, 9000);
  world.run(100);
  for (let request = 0; request < 6; request += 1) world.ask('m5', '', 1, 9000);
  world.run(100);
  world.emptied = [];
  world.run(5000);
  expect(firstLoadOf(world, 'm5')).toBeLessThan(firstLoadOf(world, 'm4'));
  expect(firstLoadOf(world, 'm4')).toBeLessThan(Infinity);
});

test('what a runner gave up comes back from its own disk, as soon as it is done', () => {
  const world = slowSite();
  // All runners are full: each of these takes the place of another.
  for (let rare = 24; rare < 30; rare += 1) world.ask(`m${rare}`, '', 0, 12_000);
  world.run(10_000);
  const gone = [];
  for (let model = 0; model < 24; model += 1)
    if (world.copies(`m${model}`).length === 0) gone.push(`m${model}`);
  expect(gone.length).toBeGreaterThanOrEqual(4);
  for (const model of gone) world.ask(model, '', 0, 12_000);
  world.run(2000);
  // Proxies send requests there only once they are told that it is done.
  const told = world.planner.fleet(world.at()).runners.flatMap(({ holds }) => holds);
  const models = told.map(({ model }) => model);
  expect(gone.filter((model) => !models.includes(model))).toEqual([]);
  expect(world.breaks).toEqual([]);
});

test('slow loads keep fewer copies of busy models, and so more rare models', () => {
  const world = slowSite();
  const busy = new Traffic({ m0: 1 }, 60);
  world.run(12_000, (one) => busy.each(one));
  const copies = world.copies('m0').length;
  expect(copies).toBeGreaterThanOrEqual(2);
  expect(copies).toBeLessThanOrEqual(4);
  expect(world.missed.size).toBe(0);
});
