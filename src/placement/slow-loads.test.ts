/** Planner decisions that matter if a load takes seconds and each runner executes one order at a time. */
import { expect, test } from 'vitest';
import { FakeFleet } from './testing/fake-fleet.js';
import { engineOf, Traffic } from './testing/fleet-traffic.js';

const SLOW_LOAD_MS = 4000;

/** Eight runners in two zones, each with three models; no runner holds the other ten models. */
function slowLoadFleet(): FakeFleet {
  const fast = engineOf(34);
  const models = fast.models.map((model) => ({ ...model, loadMs: SLOW_LOAD_MS }));
  const fleet = new FakeFleet({
    engine: { ...fast, models, loadsPerSecond: 17 },
    zones: ['a', 'b'],
    runnersPerZone: 4,
    seed: 3,
    slots: 48,
    diskFactor: 0.2,
  });
  let model = 0;
  for (const runner of fleet.runners.keys()) {
    fleet.addHolds(runner, `m${model}`, `m${model + 1}`, `m${model + 2}`);
    model += 3;
  }
  fleet.run(1000);
  return fleet;
}

function firstLoadAt(fleet: FakeFleet, model: string): number {
  const order = fleet.orders.find(
    ({ intent, outcome }) =>
      intent.verb === 'load' && intent.model === model && outcome === 'taken',
  );
  return order?.at ?? Infinity;
}

test('a model with sudden high demand finds a free runner while rare models are being loaded', () => {
  const fleet = slowLoadFleet();
  for (let rare = 24; rare < 33; rare += 1) fleet.request(`m${rare}`, '', 0, 12_000);
  fleet.run(500);
  for (let request = 0; request < 6; request += 1) fleet.request('m33', '', 1, 12_000);
  const askedAt = fleet.now;
  fleet.run(1000);
  expect(firstLoadAt(fleet, 'm33') - askedAt).toBeLessThan(500);
  // The rare models are served as well, once runners are free again.
  fleet.run(9000);
  expect(fleet.missedCounts.size).toBe(0);
  expect(fleet.violations).toEqual([]);
});

test('many waiting requests precede a single one that is older and more urgent', () => {
  const fleet = new FakeFleet({ engine: engineOf(6), zones: ['a'], runnersPerZone: 1 });
  fleet.addHolds('r1', 'm0', 'm1', 'm2');
  fleet.run(1000);
  // Nothing can be loaded during a short evacuation.
  fleet.evacuatedZones = ['a'];
  fleet.run(100);
  fleet.request('m4', '', 0, 9000);
  fleet.run(100);
  for (let request = 0; request < 6; request += 1) fleet.request('m5', '', 1, 9000);
  fleet.run(100);
  fleet.evacuatedZones = [];
  fleet.run(5000);
  expect(firstLoadAt(fleet, 'm5')).toBeLessThan(firstLoadAt(fleet, 'm4'));
  expect(firstLoadAt(fleet, 'm4')).toBeLessThan(Infinity);
});

test("evicted models are reloaded from a runner's own disk, and published when ready", () => {
  const fleet = slowLoadFleet();
  // All runners are full: each of these loads evicts another model.
  for (let rare = 24; rare < 30; rare += 1) fleet.request(`m${rare}`, '', 0, 12_000);
  fleet.run(10_000);
  const gone = [];
  for (let model = 0; model < 24; model += 1)
    if (fleet.runnersHolding(`m${model}`).length === 0) gone.push(`m${model}`);
  expect(gone.length).toBeGreaterThanOrEqual(4);
  for (const model of gone) fleet.request(model, '', 0, 12_000);
  fleet.run(2000);
  // Proxies send requests there only once the model is published as ready.
  const told = fleet.planner.fleet(fleet.at()).runners.flatMap(({ holds }) => holds);
  const models = told.map(({ model }) => model);
  expect(gone.filter((model) => !models.includes(model))).toEqual([]);
  expect(fleet.violations).toEqual([]);
});

test('with slow loads busy models keep fewer replicas, which leaves memory for rare models', () => {
  const fleet = slowLoadFleet();
  const busy = new Traffic({ m0: 1 }, 60);
  fleet.run(12_000, (one) => busy.sendDue(one));
  const replicas = fleet.runnersHolding('m0').length;
  expect(replicas).toBeGreaterThanOrEqual(2);
  expect(replicas).toBeLessThanOrEqual(4);
  expect(fleet.missedCounts.size).toBe(0);
});
