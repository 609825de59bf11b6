import { array, number, optional, string, type, type Infer } from 'superstruct';
import { expect, test } from 'vitest';
import { mustParseAs } from '../common/json.js';
import { MAX_EDITS } from './config-shapes.js';
import {
  ControlCluster,
  documentOf,
  editOf,
  foundedCluster,
  SEEDS,
} from './testing/control-cluster.js';

const ErrorShape = type({ defect: optional(string()) });

/** The error code in the body of an answer; empty if there is no answer. */
function errorCodeOf(body: string): string {
  if (body === '') return '';
  return mustParseAs(ErrorShape, body, 'the answer').defect ?? '';
}

/** The fields of a configuration that the tests read. */
const ConfigBodyShape = type({
  routing: optional(type({ version: number() })),
  emptied: array(string()),
});

function configOf(body: string): Infer<typeof ConfigBodyShape> {
  return mustParseAs(ConfigBodyShape, body, 'the configuration');
}

function routingOf(cluster: ControlCluster): number {
  return configOf(cluster.asked(cluster.leader(), 'read', {}).body).routing?.version ?? 0;
}

function evacuatedOf(cluster: ControlCluster): readonly string[] {
  return configOf(cluster.asked(cluster.leader(), 'read', {}).body).emptied;
}

function zoneOrder(id: string, empty: boolean): object {
  return { id, zone: 'north', empty };
}

test('a thawed leader never refuses what its successor took', () => {
  const cluster = foundedCluster();
  const former = cluster.leader();
  cluster.freeze(former);
  cluster.run(6000);
  const leader = cluster.leader();
  expect(leader).not.toBe('');
  expect(cluster.asked(leader, 'configure', editOf('e1', 0, documentOf(7, 'x'))).status).toBe(200);
  expect(cluster.asked(leader, 'configure', editOf('e2', 7, documentOf(8, 'y'))).status).toBe(200);
  // Its answer was lost, and the same order goes to the former leader, which has not ticked since it was thawed.
  cluster.thaw(former);
  const again = cluster.ask(former, 'configure', editOf('e2', 7, documentOf(8, 'y')));
  cluster.run(1000);
  expect([200, 503, 504]).toContain(cluster.answer(former, again).status);
  // Once it follows, it passes the order on, and the order is acknowledged again.
  cluster.run(3000);
  expect(cluster.asked(former, 'configure', editOf('e2', 7, documentOf(8, 'y'))).status).toBe(200);
});
test('on a leader cut off nobody loses to a winner that never was', () => {
  const cluster = foundedCluster();
  const former = cluster.leader();
  cluster.cut(former);
  const first = cluster.ask(former, 'configure', editOf('e1', 0, documentOf(7, 'x')));
  const second = cluster.ask(former, 'configure', editOf('e2', 0, documentOf(8, 'y')));
  cluster.run(6000);
  cluster.heal(former, 'lost');
  cluster.run(4000);
  expect(routingOf(cluster)).toBe(0);
  expect(errorCodeOf(cluster.answer(former, first).body)).toBe('unsure-edit');
  expect(cluster.answer(former, second).status).toBe(503);
});
test('a leader cut off refuses nothing, however wrong it looks to it', () => {
  const cluster = foundedCluster();
  const former = cluster.leader();
  expect(cluster.asked(former, 'configure', editOf('e1', 0, documentOf(7, 'x'))).status).toBe(200);
  cluster.cut(former);
  // An order that is wrong by all that a cut-off leader knows is not refused by it: others may know better.
  const asked = cluster.ask(former, 'amend', editOf('e2', 3, documentOf(9, 'y')));
  cluster.run(6000);
  expect(cluster.answer(former, asked).status).toBe(503);
});
test('a loser is refused once the winner is on a majority, and not before', () => {
  const cluster = foundedCluster();
  const leader = cluster.leader();
  for (const id of SEEDS) if (id !== leader) cluster.node(id).disk = 'stalled';
  const first = cluster.ask(leader, 'configure', editOf('e1', 0, documentOf(7, 'x')));
  const second = cluster.ask(leader, 'configure', editOf('e2', 0, documentOf(8, 'y')));
  cluster.run(400);
  // The winner is on one disk alone, so that nobody has lost to it yet.
  expect(cluster.answer(leader, second).status).toBe(0);
  cluster.node(cluster.follower()).disk = 'sound';
  cluster.run(600);
  expect([cluster.answer(leader, first).status, cluster.answer(leader, second).status]).toEqual([
    200, 409,
  ]);
});
test('a late copy of an evacuation at a thawed leader empties nothing', () => {
  const cluster = foundedCluster();
  const former = cluster.leader();
  cluster.freeze(former);
  const late = cluster.ask(former, 'zone', zoneOrder('z1', true));
  cluster.run(6000);
  const leader = cluster.leader();
  expect(cluster.asked(leader, 'zone', zoneOrder('z2', true)).status).toBe(200);
  expect(cluster.asked(leader, 'zone', zoneOrder('z3', false)).status).toBe(200);
  cluster.thaw(former);
  cluster.run(4000);
  expect(cluster.answer(former, late).status).toBe(503);
  expect(evacuatedOf(cluster)).toEqual([]);
});
test('a late copy of an evacuation at a thawed follower empties nothing', () => {
  const cluster = foundedCluster();
  const follower = cluster.follower();
  cluster.freeze(follower);
  const late = cluster.ask(follower, 'zone', zoneOrder('z1', true));
  cluster.run(1500);
  expect(cluster.asked(cluster.leader(), 'zone', zoneOrder('z2', true)).status).toBe(200);
  expect(cluster.asked(cluster.leader(), 'zone', zoneOrder('z3', false)).status).toBe(200);
  // All that the leader said meanwhile is heard first; the order is as old as the freeze all the same.
  cluster.thaw(follower);
  cluster.run(2000);
  expect(cluster.answer(follower, late).status).toBe(503);
  expect(evacuatedOf(cluster)).toEqual([]);
});
test('a late copy of an evacuation on the line between nodes empties nothing', () => {
  const cluster = foundedCluster();
  const follower = cluster.follower();
  cluster.cut(follower);
  cluster.ask(follower, 'zone', zoneOrder('z1', true));
  cluster.run(1400);
  expect(cluster.asked(cluster.leader(), 'zone', zoneOrder('z2', true)).status).toBe(200);
  expect(cluster.asked(cluster.leader(), 'zone', zoneOrder('z3', false)).status).toBe(200);
  // The line between them held the forwarded copy and delivers it now.
  cluster.heal(follower);
  cluster.run(2000);
  expect(evacuatedOf(cluster)).toEqual([]);
});
test('an evacuation forwarded to a leader that is deposed meanwhile is not carried out', () => {
  const cluster = foundedCluster();
  const former = cluster.leader();
  const follower = cluster.follower();
  cluster.freeze(former);
  const asked = cluster.ask(follower, 'zone', zoneOrder('z1', true));
  cluster.run(6000);
  cluster.thaw(former);
  cluster.run(4000);
  expect([503, 504]).toContain(cluster.answer(follower, asked).status);
  expect(evacuatedOf(cluster)).toEqual([]);
});
test('a read during a write gives what is committed', () => {
  const cluster = foundedCluster();
  const leader = cluster.leader();
  expect(cluster.asked(leader, 'configure', editOf('e1', 0, documentOf(7, 'x'))).status).toBe(200);
  for (const id of SEEDS) if (id !== leader) cluster.node(id).disk = 'stalled';
  cluster.ask(leader, 'configure', editOf('e2', 7, documentOf(8, 'y')));
  // What is not committed is not read; what is committed is, since only this leader could have committed more.
  const read = cluster.asked(leader, 'read', {});
  expect(read.status).toBe(200);
  expect(configOf(read.body).routing?.version).toBe(7);
});
test('reads and refusals that wait for one quorum read are all answered', () => {
  const cluster = foundedCluster();
  const leader = cluster.leader();
  // The first begins a quorum read; the others wait together for the next.
  const reads = [1, 2, 3].map(() => cluster.ask(leader, 'read', {}));
  const orders = ['e1', 'e2', 'e3'].map((id) =>
    cluster.ask(leader, 'configure', editOf(id, 3, documentOf(9, id))),
  );
  cluster.run(500);
  for (const number of reads) expect(cluster.answer(leader, number).status).toBe(200);
  for (const number of orders) expect(cluster.answer(leader, number).status).toBe(409);
});
test('an order taken so long ago that it is forgotten is never refused', () => {
  const cluster = foundedCluster();
  const leader = cluster.leader();
  const old = editOf('e2', 50, documentOf(60, 'y'));
  expect(cluster.asked(leader, 'configure', editOf('e1', 0, documentOf(50, 'x'))).status).toBe(200);
  expect(cluster.asked(leader, 'configure', old).status).toBe(200);
  for (let count = 0; count < MAX_EDITS; count += 1) {
    cluster.ask(leader, 'zone', zoneOrder(`z${count}`, count % 2 === 0));
  }
  cluster.run(500);
  // It was taken, and so many came since that nobody remembers it: no word, but no refusal either.
  expect(errorCodeOf(cluster.asked(leader, 'configure', old).body)).toBe('unsure-edit');
  // One on a base that only came since cannot have been taken and forgotten.
  expect(cluster.asked(leader, 'amend', editOf('e3', 77, documentOf(90, 'z'))).status).toBe(409);
});
test('orders sent again out of order are acknowledged again', () => {
  const cluster = foundedCluster();
  let base = 0;
  const orders: { readonly order: object; readonly id: string }[] = [];
  for (let version = 1; version <= 8; version += 1) {
    const id = `e${version}`;
    const order = editOf(id, base, documentOf(version, id));
    orders.push({ order, id });
    expect(cluster.asked(cluster.follower(), 'configure', order, 200).status).toBe(200);
    base = version;
  }
  // Every order that was taken is acknowledged again, at whatever node, however many came since.
  const asked = orders.reverse().map(({ order }, index) => {
    const node = SEEDS[index % SEEDS.length] ?? '';
    return { node, number: cluster.ask(node, 'configure', order) };
  });
  cluster.run(1000);
  for (const { node, number } of asked) expect(cluster.answer(node, number).status).toBe(200);
  expect(routingOf(cluster)).toBe(8);
});
