import { expect, test } from 'vitest';
import { compile } from '../policy/language.js';
import { PolicyRouter } from '../proxy/policy-router.js';
import { POLICY_ROUTER_DEFAULTS } from '../proxy/policy-router-types.js';
import { moment } from '../common/ids.js';
import { AgentCore } from '../agent/agent-core.js';
import { Garbage, WORDS } from './garbage.js';
import { SeededRandom as SeededClass } from './seeded-random.js';
import { Simulation } from './simulation.js';

const { table } = compile(
  'map POST /c to check\nrow check m-* weight 9 take 5/s late 10s once stream',
);
const VALID_BODIES = [
  JSON.stringify({ number: 1, table, emptied: ['a'], voters: [['mind-0:1']] }),
  JSON.stringify({ id: 'e', base: 0, table }),
  JSON.stringify({ id: 'e', base: 0, row: 'check/m-*', column: 'weight', value: 3 }),
  JSON.stringify({
    places: [{ model: 'm-0', seats: [{ runner: 'r', primary: true, adapters: [] }], wait: '' }],
    runners: [{ id: 'r', address: 'r:1', zone: 'a', service: '', slots: 2, upMs: 5 }],
    flows: 2,
    shares: [],
  }),
  JSON.stringify({
    revision: 4,
    machines: [{ id: 'r', address: 'r:1', zone: 'a', service: '', leaving: false }],
  }),
  JSON.stringify({ id: 'e', zone: 'a', empty: true }),
  JSON.stringify({ id: 's', old: 'mind-0:1', new: 'x' }),
];
test('a proxy router and an agent core survive invalid messages', async () => {
  for (let seed = 1; seed <= 100; seed += 1) {
    await new Promise(setImmediate);
    const seeded = new SeededClass(seed);
    const garbage = new Garbage(seeded, VALID_BODIES);
    const router = new PolicyRouter({
      ...POLICY_ROUTER_DEFAULTS,
      freshnessBoundMs: 2500,
      proxyId: 'f',
    });
    const agent = new AgentCore(
      {
        me: 'link-0:1',
        zone: 'z',
        seeds: ['mind-0:1', 'mind-1:1', 'mind-2:1'],
        freshnessBoundMs: 2500,
        incarnation: 0,
      },
      moment(0),
    );
    for (let now = 0; now < 3000; now += 10) {
      const topic = seeded.pick(['config', 'places', 'machines']) ?? '';
      router.onUpdate(moment(now), topic, { epoch: 2, count: now }, garbage.text());
      router.onFreshnessConfirmed(
        router.startFreshnessRequest(moment(now)),
        { epoch: 0, count: 0 },
        0,
      );
      router.onRequest(moment(now), {
        id: now,
        method: 'POST',
        path: '/c',
        model: seeded.pick(WORDS) ?? '',
        adapter: '',
        prefixBlocks: [],
      });
      router.tick(moment(now));
      agent.onMessage(
        moment(now),
        seeded.pick(['mind-0:1', 'flow@0', 'link-9:1']) ?? '',
        seeded.pick(['flow', 'mind', 'link']) ?? '',
        garbage.message(),
      );
      agent.tick(moment(now));
      agent.drain();
    }
    router.drainVerdicts();
  }
}, 600_000);
test('control nodes survive invalid commands and continue to serve', async () => {
  for (let seed = 1; seed <= 12; seed += 1) {
    await new Promise(setImmediate);
    const seeded = new SeededClass(seed);
    const garbage = new Garbage(seeded, VALID_BODIES);
    const simulation = new Simulation({ seed, edges: 1, faultPeriodMs: 0, faultKinds: [] });
    const { scheduler } = simulation;
    simulation.start();
    scheduler.runUntil(12_000);
    const statuses = new Set<number>();
    for (let count = 0; count < 300; count += 1) {
      const leader = simulation.leader() ?? simulation.controlNodes[0];
      const verb =
        seeded.pick([
          'table',
          'cell',
          'rows',
          'zone',
          'swap',
          'edit',
          'read',
          'live',
          'nonsense',
        ]) ?? '';
      // A valid swap would be carried out, so the swap names an unknown node; any other command is rejected or executed.
      leader?.command(
        verb,
        verb === 'swap' ? '{"id":"s","old":"nobody","new":"x"}' : garbage.text(),
        (status: number) => {
          statuses.add(status);
        },
      );
      scheduler.runUntil(scheduler.now + 20);
    }
    scheduler.runUntil(scheduler.now + 5000);
    expect(simulation.leader()).toBeDefined();
    expect(simulation.areProxiesFresh()).toBe(true);
    for (const status of statuses) expect([200, 400, 404, 409, 422, 503, 504]).toContain(status);
  }
}, 600_000);
