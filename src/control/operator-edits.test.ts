import { array, number, optional, string, type, type Infer } from 'superstruct';
import { expect, test } from 'vitest';
import { mustParseAs } from '../common/json.js';
import { MAX_EDITS } from './config-shapes.js';
import {
  ControlCluster,
  documentOf,
  editOf,
  formedCluster,
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
  return configOf(cluster.request(cluster.leader(), 'read', {}).body).routing?.version ?? 0;
}

function evacuatedOf(cluster: ControlCluster): readonly string[] {
  return configOf(cluster.request(cluster.leader(), 'read', {}).body).emptied;
}

function zoneEdit(id: string, empty: boolean): object {
  return { id, zone: 'north', empty };
}

test('a former leader that is thawed does not reject an edit that its successor accepted', () => {
  const cluster = formedCluster();
  const former = cluster.leader();
  cluster.freeze(former);
  cluster.run(6000);
  const leader = cluster.leader();
  expect(leader).not.toBe('');
  expect(cluster.request(leader, 'configure', editOf('e1', 0, documentOf(7, 'x'))).status).toBe(
    200,
  );
  expect(cluster.request(leader, 'configure', editOf('e2', 7, documentOf(8, 'y'))).status).toBe(
    200,
  );
  // The answer was lost, and the edit is retried at the former leader, which has not ticked since it was thawed.
  cluster.thaw(former);
  const again = cluster.submit(former, 'configure', editOf('e2', 7, documentOf(8, 'y')));
  cluster.run(1000);
  expect([200, 503, 504]).toContain(cluster.answer(former, again).status);
  // Once it follows, it forwards the edit, which is acknowledged again.
  cluster.run(3000);
  expect(cluster.request(former, 'configure', editOf('e2', 7, documentOf(8, 'y'))).status).toBe(
    200,
  );
});
test('an isolated leader rejects no edit because of another one that is never committed', () => {
  const cluster = formedCluster();
  const former = cluster.leader();
  cluster.cut(former);
  const first = cluster.submit(former, 'configure', editOf('e1', 0, documentOf(7, 'x')));
  const second = cluster.submit(former, 'configure', editOf('e2', 0, documentOf(8, 'y')));
  cluster.run(6000);
  cluster.heal(former, 'lost');
  cluster.run(4000);
  expect(routingOf(cluster)).toBe(0);
  expect(errorCodeOf(cluster.answer(former, first).body)).toBe('unsure-edit');
  expect(cluster.answer(former, second).status).toBe(503);
});
test('an isolated leader rejects no edit, even if its own configuration conflicts with the edit', () => {
  const cluster = formedCluster();
  const former = cluster.leader();
  expect(cluster.request(former, 'configure', editOf('e1', 0, documentOf(7, 'x'))).status).toBe(
    200,
  );
  cluster.cut(former);
  // The base of the edit conflicts with the isolated leader's configuration, but a successor may have a newer one.
  const asked = cluster.submit(former, 'amend', editOf('e2', 3, documentOf(9, 'y')));
  cluster.run(6000);
  expect(cluster.answer(former, asked).status).toBe(503);
});
test('a conflicting edit is rejected after the first edit is stored at a majority, and not before', () => {
  const cluster = formedCluster();
  const leader = cluster.leader();
  for (const id of SEEDS) if (id !== leader) cluster.node(id).disk = 'stalled';
  const first = cluster.submit(leader, 'configure', editOf('e1', 0, documentOf(7, 'x')));
  const second = cluster.submit(leader, 'configure', editOf('e2', 0, documentOf(8, 'y')));
  cluster.run(400);
  // The first edit is on one disk only, so the second must not be rejected yet.
  expect(cluster.answer(leader, second).status).toBe(0);
  cluster.node(cluster.follower()).disk = 'sound';
  cluster.run(600);
  expect([cluster.answer(leader, first).status, cluster.answer(leader, second).status]).toEqual([
    200, 409,
  ]);
});
test('a delayed duplicate of an evacuation at a thawed leader has no effect', () => {
  const cluster = formedCluster();
  const former = cluster.leader();
  cluster.freeze(former);
  const late = cluster.submit(former, 'zone', zoneEdit('z1', true));
  cluster.run(6000);
  const leader = cluster.leader();
  expect(cluster.request(leader, 'zone', zoneEdit('z2', true)).status).toBe(200);
  expect(cluster.request(leader, 'zone', zoneEdit('z3', false)).status).toBe(200);
  cluster.thaw(former);
  cluster.run(4000);
  expect(cluster.answer(former, late).status).toBe(503);
  expect(evacuatedOf(cluster)).toEqual([]);
});
test('a delayed duplicate of an evacuation at a thawed follower has no effect', () => {
  const cluster = formedCluster();
  const follower = cluster.follower();
  cluster.freeze(follower);
  const late = cluster.submit(follower, 'zone', zoneEdit('z1', true));
  cluster.run(1500);
  expect(cluster.request(cluster.leader(), 'zone', zoneEdit('z2', true)).status).toBe(200);
  expect(cluster.request(cluster.leader(), 'zone', zoneEdit('z3', false)).status).toBe(200);
  // The leader's messages of that time are handled first, but the command is still as old as the freeze.
  cluster.thaw(follower);
  cluster.run(2000);
  expect(cluster.answer(follower, late).status).toBe(503);
  expect(evacuatedOf(cluster)).toEqual([]);
});
test('a delayed duplicate of an evacuation on the link between nodes has no effect', () => {
  const cluster = formedCluster();
  const follower = cluster.follower();
  cluster.cut(follower);
  cluster.submit(follower, 'zone', zoneEdit('z1', true));
  cluster.run(1400);
  expect(cluster.request(cluster.leader(), 'zone', zoneEdit('z2', true)).status).toBe(200);
  expect(cluster.request(cluster.leader(), 'zone', zoneEdit('z3', false)).status).toBe(200);
  // The link held the forwarded duplicate and delivers it now.
  cluster.heal(follower);
  cluster.run(2000);
  expect(evacuatedOf(cluster)).toEqual([]);
});
test('an evacuation forwarded to a leader that is replaced meanwhile is not executed', () => {
  const cluster = formedCluster();
  const former = cluster.leader();
  const follower = cluster.follower();
  cluster.freeze(former);
  const asked = cluster.submit(follower, 'zone', zoneEdit('z1', true));
  cluster.run(6000);
  cluster.thaw(former);
  cluster.run(4000);
  expect([503, 504]).toContain(cluster.answer(follower, asked).status);
  expect(evacuatedOf(cluster)).toEqual([]);
});
test('a read during a write returns the committed configuration', () => {
  const cluster = formedCluster();
  const leader = cluster.leader();
  expect(cluster.request(leader, 'configure', editOf('e1', 0, documentOf(7, 'x'))).status).toBe(
    200,
  );
  for (const id of SEEDS) if (id !== leader) cluster.node(id).disk = 'stalled';
  cluster.submit(leader, 'configure', editOf('e2', 7, documentOf(8, 'y')));
  // The uncommitted write is not read. The committed one is, since only this leader could have committed a newer one.
  const read = cluster.request(leader, 'read', {});
  expect(read.status).toBe(200);
  expect(configOf(read.body).routing?.version).toBe(7);
});
test('reads and rejections that wait for one quorum read are all answered', () => {
  const cluster = formedCluster();
  const leader = cluster.leader();
  // The first begins a quorum read; the others wait together for the next.
  const reads = [1, 2, 3].map(() => cluster.submit(leader, 'read', {}));
  const edits = ['e1', 'e2', 'e3'].map((id) =>
    cluster.submit(leader, 'configure', editOf(id, 3, documentOf(9, id))),
  );
  cluster.run(500);
  for (const number of reads) expect(cluster.answer(leader, number).status).toBe(200);
  for (const number of edits) expect(cluster.answer(leader, number).status).toBe(409);
});
test('an accepted edit whose record was discarded is never rejected', () => {
  const cluster = formedCluster();
  const leader = cluster.leader();
  const old = editOf('e2', 50, documentOf(60, 'y'));
  expect(cluster.request(leader, 'configure', editOf('e1', 0, documentOf(50, 'x'))).status).toBe(
    200,
  );
  expect(cluster.request(leader, 'configure', old).status).toBe(200);
  for (let count = 0; count < MAX_EDITS; count += 1) {
    cluster.submit(leader, 'zone', zoneEdit(`z${count}`, count % 2 === 0));
  }
  cluster.run(500);
  // It was accepted, and its record was discarded after MAX_EDITS later edits: the outcome is unknown, not a rejection.
  expect(errorCodeOf(cluster.request(leader, 'configure', old).body)).toBe('unsure-edit');
  // An edit whose base is newer than that cannot have been accepted and its record discarded.
  expect(cluster.request(leader, 'amend', editOf('e3', 77, documentOf(90, 'z'))).status).toBe(409);
});
test('edits that are retried out of order are acknowledged again', () => {
  const cluster = formedCluster();
  let base = 0;
  const edits: { readonly edit: object; readonly id: string }[] = [];
  for (let version = 1; version <= 8; version += 1) {
    const id = `e${version}`;
    const edit = editOf(id, base, documentOf(version, id));
    edits.push({ edit, id });
    expect(cluster.request(cluster.follower(), 'configure', edit, 200).status).toBe(200);
    base = version;
  }
  // Every accepted edit is acknowledged again, at any node, regardless of later edits.
  const retries = edits.reverse().map(({ edit }, index) => {
    const node = SEEDS[index % SEEDS.length] ?? '';
    return { node, number: cluster.submit(node, 'configure', edit) };
  });
  cluster.run(1000);
  for (const { node, number } of retries) expect(cluster.answer(node, number).status).toBe(200);
  expect(routingOf(cluster)).toBe(8);
});
