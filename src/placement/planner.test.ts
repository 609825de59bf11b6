import { validate } from 'superstruct';
import { describe, expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import type { Engine } from '../route/routing.js';
import type { FleetDemand } from './fleet.js';
import { Planner } from './planner.js';
import { ServiceDocShape, type Intent } from './shapes.js';
import { LIST_LAG_MS, FakeFleet } from './testing/fake-fleet.js';
import { listedOf, routingOf } from './testing/fleet-documents.js';
import { sendBoth, engineOf, rareWeights, smallFleet, Traffic } from './testing/fleet-traffic.js';

const FAULT_SEEDS = Number(process.env['PLANNER_STORMS'] ?? 60);

describe('Planner', plannerTests);

function plannerTests(): void {
  test('nothing is ordered without demand', ordersNothingWithoutDemand);
  test(
    'a model that requests wait for is loaded at once into free memory',
    loadsWaitingModelAtOnce,
  );
  test('models with several replicas are evicted first', evictsSurplusReplica);
  test('loads are ordered by priority, then by waiting time', loadsByPriorityAndWait);
  test(
    'a busy model gets replicas in two zones, in proportion to its share of requests',
    addsReplicasAcrossZones,
  );
  test('replicas follow when demand shifts to other models', followsDemandShift);
  test(
    'only stored intents are ordered, each once, and loads are queried when they are expected to end',
    ordersOnlyStoredIntents,
  );
  test(
    'after a lost unload, a runner gets no orders before a new report',
    waitsForReportAfterLostUnload,
  );
  test('the last replicas of the most requested model stay', () => {
    const fleet = new FakeFleet({
      engine: engineOf(8),
      zones: ['a', 'b'],
      runnersPerZone: 1,
      seed: 5,
    });
    fleet.addHolds('r1', 'm0', 'm1', 'm2');
    fleet.addHolds('r2', 'm3', 'm4', 'm5');
    fleet.run(1000);
    // The busiest model always has a replica while others are loaded and evicted.
    const busy = new Traffic({ m0: 1 }, 60);
    const rare = new Traffic(rareWeights(1, 8), 6, 1);
    let without = 0;
    fleet.run(20_000, (one: FakeFleet) => {
      busy.sendDue(one);
      rare.sendDue(one);
      if (one.runnersHolding('m0').length === 0) without += 1;
    });
    expect(without).toBe(0);
    expect(fleet.missedCounts.size).toBe(0);
    expect(fleet.violations).toEqual([]);
  });
  test('no runner has much more load than its share', () => {
    const fleet = smallFleet(11, { slots: 32 });
    const busy = new Traffic({ m0: 50, m1: 30, m2: 20 }, 120);
    const rare = new Traffic(rareWeights(5, 17), 5, 1);
    const each = (fleet: FakeFleet) => sendBoth(busy, rare, fleet);
    fleet.run(10_000, each);
    const sums = new Map<string, number>();
    fleet.run(5000, (one: FakeFleet) => {
      each(one);
      for (const call of one.requests)
        if (call.runner) sums.set(call.runner.id, (sums.get(call.runner.id) ?? 0) + 1);
    });
    let all = 0;
    let most = 0;
    for (const sum of sums.values()) {
      all += sum;
      most = Math.max(most, sum);
    }
    expect(most).toBeLessThan((all / fleet.runners.size) * 2.5);
    expect(fleet.violations).toEqual([]);
  });
  test(
    'replicas follow a sudden high demand even while rare models are always being loaded',
    addsReplicasDespiteRareLoads,
  );
  test('steady demand needs few orders', needsFewOrdersUnderSteadyDemand);
  test('rare models that do not all fit are served in turn', servesRareModelsInTurn);
  test(
    'two rare models do not evict each other while there is other memory',
    rareModelsDoNotEvictEachOther,
  );
  test(
    'the models of a leaving runner are placed on other runners at once',
    replacesModelsOfLeavingRunner,
  );
  test('replicas in an evacuated zone count as lost', replacesModelsOfEvacuatedZone);
  test('a new runner is filled with models that lack replicas', fillsNewRunner);
  test(
    'an unreachable runner is suspected once requests wait at proxies',
    suspectsUnreachableRunner,
  );
  test(
    'adapters are loaded where their model is, and the least requested one is evicted',
    evictsLeastRequestedAdapter,
  );
  test('a busy adapter gets a second replica', replicatesBusyAdapter);
  test('loads from the store stay below the rate limit under high demand', keepsStoreRateLimit);
  test('low-priority requests are not starved by urgent ones', doesNotStarveLowPriority);
  test('a model just loaded stays for a minimum time', keepsRecentlyLoadedModels);
  test(
    'an understudy is placed in another zone, even if its own has free memory',
    placesUnderstudyInOtherZone,
  );
  test('a new leader takes over without repeating orders', () => {
    const fleet = smallFleet(8);
    const busy = new Traffic({ m0: 73, m1: 27 }, 90);
    const rare = new Traffic(rareWeights(5, 17), 8, 1);
    const each = (fleet: FakeFleet) => sendBoth(busy, rare, fleet);
    fleet.run(8000, each);
    const before = countOrderedIntents(fleet);
    const primary = fleet.stored.get('llm/m0')?.primary;
    fleet.changeLeader();
    fleet.run(5000, each);
    // Its rates start from zero, so a few replicas may move.
    expect(countOrderedIntents(fleet) - before).toBeLessThan(12);
    expect(fleet.reportRequestCount).toBe(fleet.runners.size);
    expect(fleet.stored.get('llm/m0')?.primary).toBe(primary);
    // Change the leader during loads.
    fleet.request('m30');
    fleet.request('m31');
    fleet.run(150, each);
    fleet.changeLeader();
    fleet.run(3000, each);
    expect(fleet.servedCounts.get('m30')).toBe(1);
    expect(fleet.servedCounts.get('m31')).toBe(1);
    for (const doc of fleet.stored.values())
      for (const intent of doc.intents) expect(intent.id.startsWith('l2')).toBe(true);
    expect(fleet.violations).toEqual([]);
  });
  test(
    'no limit is exceeded under random lost orders, crashes, leaving runners and changes of leader',
    () => {
      for (let seed = 1; seed <= FAULT_SEEDS; seed += 1) {
        const roomMb = [140_000, 220_000, 300_000][seed % 3] ?? 0;
        const engine = engineOf(24, {
          capacityMb: roomMb,
          adapterSlots: 1 + (seed % 8),
          loadsPerSecond: [2, 6.8, 40][seed % 3] ?? 1,
        });
        const fleet = new FakeFleet({
          engine,
          zones: ['a', 'b', 'c'],
          runnersPerZone: 2,
          seed,
          lostOrdersPerThousand: 60,
          countsNoopOrders: seed % 5 === 0,
          repliesBusyToSameOrder: seed % 2 === 0,
        });
        fleet.run(1000);
        let shift = 0;
        for (let round = 0; round < 8; round += 1) {
          const busy = new Traffic(
            {
              [`m${shift}`]: 5,
              [`m${shift + 1}`]: 2,
              'm0/a1': 1,
              'm0/a2': 1,
              'm0/a3': 1,
              'm0/a4': 1,
              'm0/a5': 1,
            },
            60,
          );
          const rare = new Traffic(rareWeights(5, 24), 10, 1);
          const each = (fleet: FakeFleet) => sendBoth(busy, rare, fleet);
          fleet.run(1500 + fleet.random.below(1000), each);
          injectFault(fleet);
          shift = fleet.random.below(6);
        }
        for (const runner of fleet.runners.values()) runner.isUnreachable = false;
        expect(fleet.violations, `seed ${seed}`).toEqual([]);
        // After the faults end, all requested models are served.
        fleet.evacuatedZones = [];
        fleet.servedCounts.clear();
        const after = new Traffic({ m0: 5, m1: 2 }, 40);
        fleet.run(6000, (fleet) => after.sendDue(fleet));
        expect(fleet.servedCounts.get('m0') ?? 0, `seed ${seed}`).toBeGreaterThan(50);
        expect(fleet.servedCounts.get('m1') ?? 0, `seed ${seed}`).toBeGreaterThan(15);
        expect(fleet.violations, `seed ${seed}`).toEqual([]);
      }
    },
    2000 * FAULT_SEEDS,
  );
  test('the passage of time alone does not change the published fleet', () => {
    const fleet = new FakeFleet({ engine: engineOf(6), zones: ['a', 'b'], runnersPerZone: 1 });
    fleet.addHolds('r1', 'm0', 'm1', 'm2');
    fleet.addHolds('r2', 'm3', 'm4', 'm0');
    fleet.run(1000);
    fleet.request('m5');
    fleet.run(150);
    const first = JSON.stringify(fleet.planner.fleet(fleet.at()));
    expect(first).toContain('"coming":[{"model":"m5","adapter":"","readyMs":');
    fleet.run(300);
    expect(JSON.stringify(fleet.planner.fleet(fleet.at()))).toBe(first);
    // A model is no longer published as loaded from the moment its eviction is decided.
    let holders = 0;
    for (const runner of fleet.planner.fleet(fleet.at()).runners)
      for (const hold of runner.holds) if (hold.model === 'm0') holders += 1;
    expect(holders).toBe(1);
  });
  test('before demand was observed, the present replicas stand for it', () => {
    const fleet = new FakeFleet({ engine: engineOf(12), zones: ['a', 'b'], runnersPerZone: 2 });
    fleet.addHolds('r1', 'm0', 'm1', 'm2');
    fleet.addHolds('r2', 'm0', 'm1', 'm3');
    fleet.addHolds('r3', 'm0', 'm4', 'm5');
    fleet.addHolds('r4', 'm0', 'm6', 'm7');
    fleet.run(1000);
    // Rare models are requested first; the model that many runners hold has not been requested yet.
    for (const rare of ['m8', 'm9', 'm10', 'm11']) fleet.request(rare);
    fleet.run(1500);
    expect(fleet.runnersHolding('m0').length).toBeGreaterThanOrEqual(3);
    // Of two replicas one may be a spare, the other stays.
    expect(fleet.runnersHolding('m1').length).toBeGreaterThanOrEqual(1);
    expect(fleet.violations).toEqual([]);
  });
  test('the planner places everything when called only at `nextPlanAt`', () => {
    const fleet = new FakeFleet({
      engine: engineOf(20),
      zones: ['a', 'b'],
      runnersPerZone: 2,
      seed: 9,
      plansOnlyWhenDue: true,
    });
    fleet.run(1000);
    const traffic = new Traffic(rareWeights(0, 12), 20);
    fleet.run(10_000, (fleet) => traffic.sendDue(fleet));
    for (let index = 0; index < 12; index += 1)
      expect(fleet.servedCounts.get(`m${index}`) ?? 0).toBeGreaterThan(3);
    const calm = fleet.planCount;
    fleet.run(4000);
    expect(fleet.planCount - calm).toBeLessThan(200);
  });
  test('a model removed from the configuration is evicted and not loaded again', () => {
    const fleet = new FakeFleet({ engine: engineOf(6), zones: ['a', 'b'], runnersPerZone: 1 });
    fleet.addHolds('r1', 'm0', 'm1', 'm2');
    fleet.addHolds('r2', 'm3', 'm4', 'm5');
    fleet.run(3000);
    const engine = engineOf(8);
    const fewer: Engine = { ...engine, models: engine.models.filter(isNotFirst) };
    fleet.routing = routingOf(fewer);
    fleet.run(500);
    fleet.request('m0');
    fleet.request('m7');
    fleet.run(2000);
    expect(fleet.runnersHolding('m7').length).toBe(1);
    expect(fleet.runnersHolding('m0').length).toBe(0);
    for (const model of ['m1', 'm2', 'm3', 'm4', 'm5'])
      expect(fleet.runnersHolding(model).length).toBe(1);
    fleet.run(3000);
    expect(fleet.runnersHolding('m0').length).toBe(0);
  });
  test('many requests that wait for slots at many replicas raise no suspicion of these', () => {
    const planner = new Planner({ lagMs: LIST_LAG_MS });
    const routing = routingOf(engineOf(9));
    const input = { routing, evacuatedZones: [], proxies: 1 };
    planner.restore(moment(0), [], 'l1');
    planner.plan(moment(0), input);
    const hold = [{ model: 'm0', adapters: [] }];
    planner.onRunnerList(moment(0), [
      listedOf('r1', 'a', hold),
      listedOf('r2', 'b', hold),
      listedOf('r3', 'c', hold),
      listedOf('r4', 'c', []),
    ]);
    for (let now = 100; now < 5000; now += 100) {
      planner.onDemand(moment(now), {
        flow: 'f1',
        units: [
          {
            service: 'llm',
            model: 'm0',
            adapter: '',
            count: 1,
            waiting: 3,
            running: 5,
            priority: 0,
          },
        ],
      });
      planner.plan(moment(now), input);
    }
    expect(intentIdsOf(planner)).toEqual([]);
  });
  test('a runner that orders do not reach is passed over', () => {
    const planner = new Planner({ lagMs: LIST_LAG_MS });
    const routing = routingOf(engineOf(9));
    const input = { routing, evacuatedZones: [], proxies: 1 };
    planner.restore(moment(0), [], 'l1');
    planner.plan(moment(0), input);
    planner.onRunnerList(moment(0), [listedOf('r1', 'a', []), listedOf('r2', 'b', [])]);
    const sent: string[] = [];
    for (let now = 100; now < 1500; now += 5) {
      planner.onDemand(moment(now), { flow: 'f1', units: [{ ...waitingUnit('m0', 1), count: 0 }] });
      planner.plan(moment(now), input);
      planner.markPersisted(intentIdsOf(planner));
      for (const order of planner.takeDueOrders(moment(now))) {
        sent.push(order.runner);
        planner.onOrderOutcome(
          moment(now + 1),
          order.id,
          order.runner === 'r1' ? 'unsent' : 'taken',
        );
      }
    }
    expect(sent.slice(0, 2)).toEqual(['r1', 'r2']);
    expect(sent.slice(2)).not.toContain('r1');
    expect(planner.fleet(moment(1500)).waits).toEqual([]);
  });
  test('the planner detects whether runners count orders without effect', () => {
    const fleet = new FakeFleet({
      engine: engineOf(30),
      zones: ['a', 'b', 'c'],
      runnersPerZone: 2,
      seed: 4,
      countsNoopOrders: true,
    });
    fleet.run(1000);
    const traffic = new Traffic(rareWeights(0, 30), 20);
    fleet.run(8000, (fleet) => traffic.sendDue(fleet));
    const asked = fleet.reportRequestCount;
    fleet.run(8000, (fleet) => traffic.sendDue(fleet));
    expect(asked).toBeLessThan(20);
    expect(fleet.reportRequestCount - asked).toBe(0);
    expect(fleet.violations).toEqual([]);
  });
  test('documents without newer fields can be read', () => {
    const [error, doc] = validate(
      {
        model: 'llm/m0',
        primary: '',
        understudy: '',
        wait: '',
        intents: [
          { id: 'x.1', runner: 'r1', boot: '', verb: 'load', model: 'm0', adapter: '', size: 1 },
        ],
      },
      ServiceDocShape,
    );
    expect(error).toBeUndefined();
    const planner = new Planner();
    if (doc) planner.restore(moment(0), [doc], 'l1');
    expect(planner.docs().length).toBe(1);
  });
  test('a plan for a large fleet is fast', () => {
    const models: Engine['models'][number][] = [];
    for (let index = 0; index < 166; index += 1)
      models.push({
        name: `m${index}`,
        sizeMb: 65_000,
        loadMs: 600,
        adapters: 3,
        adapterSizeMb: 12,
      });
    const fleet = new FakeFleet({
      engine: {
        slots: 12,
        cacheTokens: 1,
        models,
        capacityMb: 140_000,
        adapterSlots: 8,
        loadsPerSecond: 40,
      },
      zones: ['a', 'b', 'c'],
      runnersPerZone: 21,
      slots: 12,
      serveMs: 400,
    });
    const weights: Record<string, number> = {};
    for (let index = 0; index < 166; index += 1) {
      weights[`m${index}`] = 1 / (1 + index);
      weights[`m${index}/a${index % 3}`] = 0.1 / (1 + index);
    }
    const traffic = new Traffic(weights, 190);
    fleet.run(3000, (fleet) => traffic.sendDue(fleet));
    fleet.totalPlanMs = 0;
    fleet.planCount = 0;
    fleet.run(5000, (fleet) => traffic.sendDue(fleet));
    expect(fleet.violations).toEqual([]);
    // The bound leaves room for a slow machine, which may take several times as long as a common one.
    expect(fleet.totalPlanMs / fleet.planCount).toBeLessThan(5);
  });
}

function ordersNothingWithoutDemand(): void {
  const fleet = new FakeFleet({ engine: engineOf(6), zones: ['a', 'b'], runnersPerZone: 1 });
  fleet.addHolds('r1', 'm0', 'm1', 'm2');
  fleet.addHolds('r2', 'm3', 'm4', 'm5');
  fleet.run(5000);
  expect(fleet.orders).toEqual([]);
  expect(fleet.reportRequestCount).toBe(0);
  expect(fleet.planner.fleet(fleet.at()).runners[0]?.holds.length).toBe(3);
}

function loadsWaitingModelAtOnce(): void {
  const fleet = new FakeFleet({ engine: engineOf(6), zones: ['a', 'b'], runnersPerZone: 1 });
  fleet.addHolds('r1', 'm0', 'm1', 'm2');
  fleet.addHolds('r2', 'm3');
  fleet.run(1000);
  fleet.request('m4');
  fleet.run(1000);
  expect(fleet.servedCounts.get('m4')).toBe(1);
  expect(fleet.waitedMs.get('m4')?.[0]).toBeLessThan(800);
  expect(fleet.runnersHolding('m4').length).toBe(1);
  expect(fleet.orders.length).toBeLessThanOrEqual(4);
  expect(fleet.violations).toEqual([]);
}

function evictsSurplusReplica(): void {
  const fleet = new FakeFleet({ engine: engineOf(6), zones: ['a', 'b'], runnersPerZone: 1 });
  fleet.addHolds('r1', 'm0', 'm1', 'm2');
  fleet.addHolds('r2', 'm0', 'm3', 'm4');
  fleet.run(1000);
  fleet.request('m5');
  fleet.run(1500);
  expect(fleet.servedCounts.get('m5')).toBe(1);
  expect(fleet.runnersHolding('m0').length).toBe(1);
  for (const model of ['m1', 'm2', 'm3', 'm4']) expect(fleet.runnersHolding(model).length).toBe(1);
  expect(fleet.violations).toEqual([]);
}

function loadsByPriorityAndWait(): void {
  // The store allows one load at a time.
  const fleet = new FakeFleet({
    engine: engineOf(9, { loadsPerSecond: 1.6 }),
    zones: ['a', 'b'],
    runnersPerZone: 3,
  });
  fleet.run(1000);
  fleet.request('m1', '', 2);
  fleet.run(30);
  fleet.request('m2', '', 2);
  fleet.run(60);
  fleet.request('m3', '', 1);
  fleet.request('m4', '', 0);
  fleet.run(4000);
  const loaded = new Set<string>();
  for (const { intent, outcome } of fleet.orders) if (outcome === 'taken') loaded.add(intent.model);
  expect([...loaded]).toEqual(['m1', 'm4', 'm3', 'm2']);
}

function addsReplicasAcrossZones(): void {
  const fleet = new FakeFleet({ engine: engineOf(20), zones: ['a', 'b', 'c'], runnersPerZone: 3 });
  let number = 1;
  for (const runner of fleet.runners.keys()) {
    fleet.addHolds(runner, `m${number}`, `m${number + 9}`);
    number += 1;
  }
  fleet.addHolds('r1', 'm0');
  fleet.run(1000);
  const traffic = new Traffic({ m0: 73, m1: 27 }, 90);
  fleet.run(5000, (fleet) => traffic.sendDue(fleet));
  expect(fleet.runnersHolding('m0').length).toBeGreaterThanOrEqual(5);
  expect(fleet.runnersHolding('m1').length).toBeGreaterThanOrEqual(2);
  expect(fleet.violations).toEqual([]);
  const doc = fleet.stored.get('llm/m0');
  expect(fleet.runners.get(doc?.primary ?? '')?.zone).not.toBe(
    fleet.runners.get(doc?.understudy ?? '')?.zone,
  );
  expect(doc?.seats?.length).toBe(fleet.runnersHolding('m0').length - 2);
  const before = fleet.orders.length;
  fleet.run(10_000, (fleet) => traffic.sendDue(fleet));
  expect(fleet.orders.length - before).toBeLessThan(10);
}

function followsDemandShift(): void {
  const fleet = smallFleet(3);
  const first = new Traffic({ m0: 73, m1: 27 }, 90);
  const second = new Traffic({ m2: 73, m3: 27 }, 90);
  fleet.run(5000, (fleet) => first.sendDue(fleet));
  fleet.run(2500, (fleet) => second.sendDue(fleet));
  expect(fleet.runnersHolding('m2').length).toBeGreaterThanOrEqual(4);
  expect(fleet.runnersHolding('m3').length).toBeGreaterThanOrEqual(2);
  expect(fleet.missedCounts.size).toBe(0);
  expect(fleet.violations).toEqual([]);
}

/** More rare models are requested than fit, so that every runner is always loading one of them. */
function addsReplicasDespiteRareLoads(): void {
  let totalReplicas = 0;
  const seeds = [1, 2, 3, 4, 5, 6];
  for (const seed of seeds) {
    const fleet = smallFleet(seed);
    const rare = new Traffic(rareWeights(5, 39), 25, 1);
    const first = new Traffic({ m0: 73, m1: 27 }, 90);
    const second = new Traffic({ m2: 73, m3: 27 }, 90);
    fleet.run(5000, (fleet) => sendBoth(first, rare, fleet));
    fleet.run(2500, (fleet) => sendBoth(second, rare, fleet));
    totalReplicas += fleet.runnersHolding('m2').length;
    expect(fleet.runnersHolding('m3').length).toBeGreaterThanOrEqual(1);
    expect(fleet.violations).toEqual([]);
  }
  expect(totalReplicas / seeds.length).toBeGreaterThanOrEqual(2.5);
}

function needsFewOrdersUnderSteadyDemand(): void {
  for (const seed of [1, 2, 3, 4]) {
    const fleet = smallFleet(seed);
    const busy = new Traffic({ m0: 73, m1: 27 }, 90);
    const rare = new Traffic(rareWeights(5, 17), 8, 1);
    const each = (fleet: FakeFleet) => sendBoth(busy, rare, fleet);
    fleet.run(6000, each);
    const before = fleet.orders.length;
    fleet.run(20_000, each);
    expect(fleet.orders.length - before).toBeLessThan(25);
    expect(fleet.violations).toEqual([]);
  }
}

function servesRareModelsInTurn(): void {
  for (const seed of [1, 2, 3]) {
    const fleet = new FakeFleet({
      engine: engineOf(12),
      zones: ['a', 'b'],
      runnersPerZone: 1,
      seed,
    });
    fleet.addHolds('r1', 'm0', 'm1', 'm2');
    fleet.addHolds('r2', 'm3', 'm4', 'm5');
    fleet.run(1000);
    const traffic = new Traffic(rareWeights(0, 12), 24, 1);
    fleet.run(30_000, (fleet) => traffic.sendDue(fleet));
    for (let index = 0; index < 12; index += 1) {
      const served = fleet.servedCounts.get(`m${index}`) ?? 0;
      const missed = fleet.missedCounts.get(`m${index}`) ?? 0;
      expect(served / (served + missed)).toBeGreaterThan(0.5);
    }
    expect(fleet.violations).toEqual([]);
  }
}

function rareModelsDoNotEvictEachOther(): void {
  const fleet = new FakeFleet({ engine: engineOf(8), zones: ['a', 'b'], runnersPerZone: 1 });
  fleet.addHolds('r1', 'm0', 'm1', 'm2');
  fleet.addHolds('r2', 'm3', 'm4', 'm5');
  fleet.run(1000);
  const traffic = new Traffic({ m6: 1, m7: 1 }, 4, 1);
  fleet.run(20_000, (fleet) => traffic.sendDue(fleet));
  expect(fleet.runnersHolding('m6').length).toBeGreaterThan(0);
  expect(fleet.runnersHolding('m7').length).toBeGreaterThan(0);
  expect(fleet.orders.length).toBeLessThan(20);
}

function replacesModelsOfLeavingRunner(): void {
  const fleet = smallFleet(5);
  const busy = new Traffic({ m0: 73, m1: 27 }, 90);
  const rare = new Traffic(rareWeights(5, 17), 8, 1);
  const each = (fleet: FakeFleet) => sendBoth(busy, rare, fleet);
  fleet.run(8000, each);
  const held = [...(fleet.runners.get('r1')?.holds.keys() ?? [])];
  const runner = fleet.runners.get('r1');
  if (runner) runner.isLeaving = true;
  fleet.run(LIST_LAG_MS + 2500, each);
  for (const model of held) {
    let others = 0;
    for (const holder of fleet.runnersHolding(model)) if (holder.id !== 'r1') others += 1;
    if (model === 'm0' || model === 'm1') expect(others).toBeGreaterThan(1);
  }
  expect(fleet.stored.get('llm/m0')?.primary).not.toBe('r1');
  const before = fleet.orders.filter((order) => isTo('r1', order)).length;
  fleet.run(3000, each);
  expect(fleet.orders.filter((order) => isTo('r1', order)).length).toBe(before);
  const published = fleet.planner.fleet(fleet.at()).runners.find((runner) => runner.id === 'r1');
  expect(published?.isLeaving).toBe(true);
  expect(fleet.violations).toEqual([]);
}

function zoneOf(fleet: FakeFleet, order: { intent: Intent }): string {
  return `${order.intent.verb} ${fleet.runners.get(order.intent.runner)?.zone ?? ''}`;
}
function isTo(id: string, order: { intent: Intent }): boolean {
  return order.intent.runner === id;
}

function replacesModelsOfEvacuatedZone(): void {
  const fleet = smallFleet(6);
  const busy = new Traffic({ m0: 73, m1: 27 }, 90);
  fleet.run(6000, (fleet) => busy.sendDue(fleet));
  fleet.evacuatedZones = ['a'];
  fleet.run(3000, (fleet) => busy.sendDue(fleet));
  for (const model of ['m0', 'm1']) {
    let open = 0;
    for (const holder of fleet.runnersHolding(model)) if (holder.zone !== 'a') open += 1;
    expect(open).toBeGreaterThanOrEqual(2);
    expect(fleet.runners.get(fleet.stored.get(`llm/${model}`)?.primary ?? '')?.zone).not.toBe('a');
  }
  const before = fleet.orders.length;
  fleet.evacuatedZones = [];
  fleet.run(3000, (fleet) => busy.sendDue(fleet));
  expect(fleet.orders.length - before).toBeLessThan(15);
  expect(fleet.violations).toEqual([]);
}

function fillsNewRunner(): void {
  const fleet = smallFleet(7);
  const busy = new Traffic({ m0: 73, m1: 27 }, 90);
  const rare = new Traffic(rareWeights(5, 30), 8, 1);
  const each = (fleet: FakeFleet) => sendBoth(busy, rare, fleet);
  fleet.run(8000, each);
  fleet.runners.delete('r1');
  const fresh = fleet.addRunner('a');
  fleet.run(6000, each);
  expect(fresh.holds.size).toBeGreaterThanOrEqual(2);
  expect(fleet.violations).toEqual([]);
}

function suspectsUnreachableRunner(): void {
  const fleet = new FakeFleet({ engine: engineOf(4), zones: ['a', 'b'], runnersPerZone: 2 });
  fleet.addHolds('r1', 'm0', 'm1');
  fleet.addHolds('r2', 'm2');
  fleet.run(1000);
  const runner = fleet.runners.get('r1');
  if (runner) runner.isUnreachable = true;
  const traffic = new Traffic({ m1: 1 }, 5);
  fleet.run(3000, (fleet) => traffic.sendDue(fleet));
  expect(fleet.runnersHolding('m1').length).toBe(2);
  expect(fleet.servedCounts.get('m1')).toBeGreaterThan(3);
}

function evictsLeastRequestedAdapter(): void {
  const fleet = new FakeFleet({ engine: engineOf(6), zones: ['a', 'b'], runnersPerZone: 1 });
  fleet.addHolds('r1', 'm0', 'm1');
  fleet.addHolds('r2', 'm2', 'm3');
  fleet.run(1000);
  for (let index = 1; index <= 8; index += 1) {
    fleet.request('m0', `a${index}`);
    fleet.run(500);
  }
  expect(fleet.runners.get('r1')?.holds.get('m0')?.size).toBe(8);
  fleet.run(1000);
  fleet.request('m0', 'a1');
  fleet.run(500);
  fleet.request('m0', 'a9');
  fleet.run(500);
  const held = fleet.runners.get('r1')?.holds.get('m0');
  expect(held?.has('a9')).toBe(true);
  expect(held?.has('a2')).toBe(false);
  expect(held?.has('a1')).toBe(true);
  expect(fleet.runnersHolding('m0').length).toBe(1);
  for (const waited of fleet.waitedMs.values())
    for (const ms of waited) expect(ms).toBeLessThan(200);
  expect(fleet.violations).toEqual([]);
  // For an adapter of a model that no runner holds, the model is loaded first.
  const other = new FakeFleet({ engine: engineOf(2), zones: ['a'], runnersPerZone: 1 });
  other.run(500);
  other.request('m0', 'a3');
  other.run(1500);
  expect(other.servedCounts.get('m0/a3')).toBe(1);
}

function replicatesBusyAdapter(): void {
  const fleet = new FakeFleet({
    engine: engineOf(6),
    zones: ['a', 'b'],
    runnersPerZone: 2,
    seed: 2,
  });
  fleet.addHolds('r1', 'm0');
  fleet.run(1000);
  const traffic = new Traffic({ m0: 4, 'm0/a1': 3, 'm0/a2': 0.1 }, 40);
  fleet.run(8000, (fleet) => traffic.sendDue(fleet));
  let replicas = 0;
  for (const holder of fleet.runnersHolding('m0'))
    if (holder.holds.get('m0')?.has('a1')) replicas += 1;
  expect(replicas).toBeGreaterThanOrEqual(2);
  const before = fleet.orders.length;
  fleet.run(5000, (fleet) => traffic.sendDue(fleet));
  expect(fleet.orders.length - before).toBeLessThan(8);
  expect(fleet.violations).toEqual([]);
}

function keepsStoreRateLimit(): void {
  for (const loadsPerSecond of [0.6, 1, 4]) {
    for (const seed of [1, 2, 3]) {
      // Even one load at a time would exceed the rate limit of the slower stores.
      const fleet = new FakeFleet({
        engine: engineOf(60, { loadsPerSecond }),
        zones: ['a', 'b', 'c'],
        runnersPerZone: 6,
        seed,
      });
      fleet.run(1000);
      const traffic = new Traffic(rareWeights(0, 60), 40);
      fleet.run(2200, (fleet) => traffic.sendDue(fleet));
      fleet.changeLeader();
      fleet.run(2200, (fleet) => traffic.sendDue(fleet));
      fleet.changeLeader();
      fleet.run(10_000, (fleet) => traffic.sendDue(fleet));
      expect(fleet.violations).toEqual([]);
      expect(fleet.storeLoadStarts.length).toBeGreaterThan(8 * loadsPerSecond);
    }
  }
}

function doesNotStarveLowPriority(): void {
  // Urgent models that do not all fit are requested all the time, beside one that is not urgent.
  const fleet = new FakeFleet({ engine: engineOf(10), zones: ['a'], runnersPerZone: 1, seed: 3 });
  fleet.run(500);
  const urgent = new Traffic(rareWeights(0, 9), 12);
  const other = new Traffic({ m9: 1 }, 1, 2);
  fleet.run(30_000, (fleet) => sendBoth(urgent, other, fleet));
  expect(fleet.servedCounts.get('m9') ?? 0).toBeGreaterThan(5);
  expect(fleet.violations).toEqual([]);
}

function keepsRecentlyLoadedModels(): void {
  const fleet = new FakeFleet({
    engine: engineOf(4, { capacityMb: 80_000 }),
    zones: ['a'],
    runnersPerZone: 1,
    seed: 3,
  });
  fleet.run(500);
  const traffic = new Traffic({ m0: 1, m1: 1, m2: 1 }, 10);
  fleet.run(20_000, (fleet) => traffic.sendDue(fleet));
  expect(fleet.storeLoadStarts.length).toBe(3);
  const acceptedLoads = new Set<string>();
  for (const { intent, outcome } of fleet.orders)
    if (intent.verb === 'load' && outcome === 'taken') acceptedLoads.add(intent.id);
  expect(acceptedLoads.size).toBeLessThanOrEqual(9);
  for (const model of ['m0', 'm1', 'm2'])
    expect(fleet.servedCounts.get(model) ?? 0).toBeGreaterThan(15);
}

function placesUnderstudyInOtherZone(): void {
  const fleet = new FakeFleet({
    engine: engineOf(20),
    zones: ['a', 'b'],
    runnersPerZone: 2,
    seed: 3,
  });
  fleet.addHolds('r1', 'm0');
  fleet.addHolds('r3', 'm1', 'm2', 'm3');
  fleet.addHolds('r4', 'm4', 'm5', 'm6');
  fleet.run(1000);
  const traffic = new Traffic({ m0: 1 }, 8);
  fleet.run(5000, (fleet) => traffic.sendDue(fleet));
  expect(fleet.orders.map((order) => zoneOf(fleet, order)).slice(0, 2)).toEqual([
    'unload b',
    'load b',
  ]);
}

function ordersOnlyStoredIntents(): void {
  const planner = new Planner({ lagMs: LIST_LAG_MS });
  planner.restore(moment(0), [], 'l1');
  const routing = routingOf(engineOf(4));
  planner.plan(moment(0), { routing, evacuatedZones: [], proxies: 1 });
  planner.onRunnerList(moment(0), [
    listedOf('r1', 'a', [
      { model: 'm0', adapters: [] },
      { model: 'm2', adapters: [] },
    ]),
  ]);
  planner.plan(moment(0), { routing, evacuatedZones: [], proxies: 1 });
  planner.onDemand(moment(100), {
    flow: 'f1',
    units: [waitingUnit('m1', 1), waitingUnit('m3', 1)],
  });
  const changed = planner.plan(moment(100), { routing, evacuatedZones: [], proxies: 1 });
  expect(changed).toContain('llm/m1');
  expect(planner.takeDueOrders(moment(100))).toEqual([]);
  expect(planner.fleet(moment(100)).runners[0]?.coming).toEqual([
    { model: 'm1', adapter: '', readyMs: 600 },
  ]);
  expect(planner.fleet(moment(100)).waits.map(modelOf)).toEqual(['m3']);
  planner.markPersisted(intentIdsOf(planner));
  const [order, ...others] = planner.takeDueOrders(moment(101));
  expect(order?.model).toBe('m1');
  expect(others).toEqual([]);
  // Returned once, until its outcome is reported.
  expect(planner.takeDueOrders(moment(150))).toEqual([]);
  planner.onOrderOutcome(moment(151), order?.id ?? '', 'taken');
  expect(planner.takeDueOrders(moment(700))).toEqual([]);
  const [question] = planner.takeDueOrders(moment(760));
  expect(question?.id).toBe(order?.id);
  planner.onOrderOutcome(moment(765), question?.id ?? '', 'busy');
  expect(planner.takeDueOrders(moment(766))).toEqual([]);
  planner.onOrderOutcome(moment(840), planner.takeDueOrders(moment(839))[0]?.id ?? '', 'held');
  expect(planner.fleet(moment(840)).runners[0]?.holds.map(modelOf)).toEqual(['m0', 'm2', 'm1']);
  expect(planner.plan(moment(841), { routing, evacuatedZones: [], proxies: 1 })).toContain(
    'llm/m1',
  );
  expect(planner.docs().find((doc) => doc.model === 'llm/m1')).toEqual({
    model: 'llm/m1',
    primary: 'r1',
    understudy: '',
    wait: '',
    seats: [],
    intents: [],
  });
}

function waitsForReportAfterLostUnload(): void {
  const planner = new Planner({ lagMs: LIST_LAG_MS });
  planner.restore(moment(0), [], 'l1');
  const routing = routingOf(engineOf(4));
  const input = { routing, evacuatedZones: [], proxies: 1 };
  planner.plan(moment(0), input);
  planner.onRunnerList(moment(0), [
    listedOf('r1', 'a', [
      { model: 'm0', adapters: [] },
      { model: 'm1', adapters: [] },
      { model: 'm2', adapters: [] },
    ]),
  ]);
  planner.plan(moment(0), input);
  planner.onDemand(moment(5000), { flow: 'f1', units: [waitingUnit('m3', 1)] });
  planner.plan(moment(5000), input);
  planner.markPersisted(intentIdsOf(planner));
  const [unload] = planner.takeDueOrders(moment(5001));
  expect(unload?.verb).toBe('unload');
  planner.onOrderOutcome(moment(5002), unload?.id ?? '', 'unsure');
  planner.plan(moment(5003), input);
  // Before a report that was certainly made later, nothing is ordered there, and the model is not published as loaded.
  expect(planner.takeDueOrders(moment(5003))).toEqual([]);
  expect(planner.fleet(moment(5003)).runners[0]?.holds.map(modelOf)).not.toContain(unload?.model);
  expect(planner.takeDueReportRequests(moment(5100))).toEqual([]);
  const at = planner.nextPlanAt(moment(5003)) ?? moment(0);
  expect(planner.takeDueReportRequests(at)).toEqual(['r1']);
  expect(planner.takeDueReportRequests(at)).toEqual([]);
  // A report requested too early is ignored.
  planner.onRunnerStatus(moment(at + 10), 'r1', moment(5100), {
    holds: [],
    isBusy: false,
    orderCount: 0,
    waiting: 0,
    active: 0,
  });
  expect(planner.fleet(moment(at + 10)).runners[0]?.holds.length).toBe(2);
  expect(planner.takeDueReportRequests(moment(at + 300))).toEqual(['r1']);
  planner.onRunnerStatus(moment(at + 320), 'r1', moment(at + 300), {
    holds: [
      { model: 'm1', adapters: [] },
      { model: 'm2', adapters: [] },
    ],
    isBusy: false,
    orderCount: 1,
    waiting: 0,
    active: 0,
  });
  planner.plan(moment(at + 320), input);
  planner.markPersisted(intentIdsOf(planner));
  const [load] = planner.takeDueOrders(moment(at + 321));
  expect([load?.verb, load?.model, load?.count]).toEqual(['load', 'm3', 1]);
}

/** The number of orders sent, without repetitions as completion queries. */
function countOrderedIntents(fleet: FakeFleet): number {
  return new Set(fleet.orders.map(({ intent }) => intent.id)).size;
}

function isNotFirst(model: { name: string }): boolean {
  return model.name !== 'm0';
}

function waitingUnit(model: string, waiting: number): FleetDemand['units'][number] {
  return { service: 'llm', model, adapter: '', count: waiting, waiting, running: 0, priority: 1 };
}
function modelOf(wait: { model: string }): string {
  return wait.model;
}
function intentIdsOf(planner: Planner): string[] {
  const ids: string[] = [];
  for (const doc of planner.docs()) for (const intent of doc.intents) ids.push(intent.id);
  return ids;
}

function injectFault(fleet: FakeFleet): void {
  const runners = [...fleet.runners.values()];
  const runner = runners[fleet.random.below(runners.length)];
  const fault = fleet.random.below(6);
  if (fault <= 1) fleet.changeLeader();
  else if (fault === 2 && runner) {
    fleet.runners.delete(runner.id);
    fleet.addRunner(runner.zone);
  } else if (fault === 3 && runner) {
    runner.isLeaving = true;
    fleet.addRunner(runner.zone);
  } else if (fault === 4 && runner) runner.isUnreachable = !runner.isUnreachable;
  else fleet.evacuatedZones = fleet.evacuatedZones.length > 0 ? [] : ['b'];
}
