import { expect, test } from 'vitest';
import {
  ControlCluster,
  documentOf as document,
  editOf as edit,
  formedCluster as founded,
  SEEDS,
} from './testing/control-cluster.js';

const STEP_MS = 10;

function followerOf(cluster: ControlCluster): string {
  const leader = cluster.leader();
  return SEEDS.find((seed) => seed !== leader) ?? '';
}
function checkReplacement(lostRole: 'leader' | 'follower'): void {
  const cluster = founded();
  expect(
    cluster.request(followerOf(cluster), 'configure', edit('e1', 0, document(7, 'x'))).status,
  ).toBe(200);
  const lost = lostRole === 'leader' ? cluster.leader() : followerOf(cluster);
  cluster.stop(lost);
  cluster.run(1000);
  // The new node starts with an empty disk at another address, and one of its seeds is gone.
  cluster.start('d:1', false);
  cluster.run(9000);
  const [one = '', two = ''] = SEEDS.filter((seed) => seed !== lost);
  expect(cluster.voters()).toBe([one, two, 'd:1'].sort().join(' '));
  // With the new voter the loss of another one is tolerated.
  cluster.stop(cluster.leader() === one ? two : one);
  cluster.run(8000);
  expect(JSON.parse(cluster.request('d:1', 'read', {}).body).routing.version).toBe(7);
  // A replaced voter that returns is not a voter, and does not disturb the others.
  cluster.start(lost, false);
  cluster.run(6000);
  expect(cluster.request('d:1', 'configure', edit('e2', 7, document(9, 'y'))).status).toBe(200);
}

test('a configuration is accepted once from its base, acknowledged again, amended and read back', () => {
  const cluster = founded();
  const follower = followerOf(cluster);
  expect(cluster.request(follower, 'read', {}).body).not.toContain('routing');
  expect(cluster.request(follower, 'configure', edit('e1', 0, document(7, 'x'))).status).toBe(200);
  // A retry is acknowledged at any node; another edit of the same version conflicts.
  expect(
    cluster.request(cluster.leader(), 'configure', edit('e1', 0, document(7, 'x'))).status,
  ).toBe(200);
  expect(cluster.request(follower, 'configure', edit('e2', 0, document(8, 'y')))).toMatchObject({
    status: 409,
  });
  expect(cluster.request(follower, 'amend', edit('e3', 7, document(12, 'y'))).status).toBe(200);
  expect(cluster.request(follower, 'configure', edit('e4', 12, document(12, 'z')))).toMatchObject({
    status: 400,
  });
  expect(
    cluster.request(
      follower,
      'configure',
      edit('e5', 12, JSON.stringify({ version: 20, faulty: true, items: [] })),
    ).body,
  ).toContain('is faulty');
  const read = JSON.parse(cluster.request(follower, 'read', {}).body);
  expect(read.routing).toEqual({ version: 12, text: document(12, 'x', 'y') });
});
test('of two edits of the same version one is accepted', () => {
  const cluster = founded();
  const first = cluster.submit(cluster.leader(), 'configure', edit('e1', 0, document(7, 'x')));
  const second = cluster.submit(cluster.leader(), 'configure', edit('e2', 0, document(8, 'y')));
  cluster.run(500);
  const { answers } = cluster.node(cluster.leader());
  expect([answers.get(first)?.status, answers.get(second)?.status]).toEqual([200, 409]);
});
test('an edit is acknowledged once a majority has it on disk, and not before', () => {
  const cluster = founded();
  const leader = cluster.leader();
  for (const id of SEEDS) if (id !== leader) cluster.node(id).disk = 'stalled';
  const asked = cluster.submit(leader, 'configure', edit('e1', 0, document(7, 'x')));
  cluster.run(400);
  expect(cluster.node(leader).answers.get(asked)).toBeUndefined();
  // One more copy on disk makes a majority; no member has to acknowledge it or become stale.
  cluster.node(followerOf(cluster)).disk = 'sound';
  cluster.run(500);
  expect(cluster.node(leader).answers.get(asked)?.status).toBe(200);
});
test('a zone is evacuated, released and evacuated again', () => {
  const cluster = founded();
  for (const [id, empty] of [
    ['z1', true],
    ['z2', false],
    ['z3', true],
  ] as const)
    expect(cluster.request(followerOf(cluster), 'zone', { id, zone: 'north', empty }).status).toBe(
      200,
    );
  expect(JSON.parse(cluster.request(followerOf(cluster), 'read', {}).body).emptied).toEqual([
    'north',
  ]);
});
test('all control nodes of the first start become voters, and five tolerate the loss of two', () => {
  const cluster = new ControlCluster();
  for (const id of [...SEEDS, 'd:1', 'e:1']) cluster.start(id, true);
  cluster.run(12_000);
  expect(cluster.voters()).toBe('a:1 b:1 c:1 d:1 e:1');
  expect(
    cluster.request(followerOf(cluster), 'configure', edit('e1', 0, document(7, 'x'))).status,
  ).toBe(200);
  cluster.stop(cluster.leader());
  cluster.stop(followerOf(cluster));
  cluster.run(8000);
  expect(JSON.parse(cluster.request(cluster.leader(), 'read', {}).body).routing.version).toBe(7);
});
test('an empty node replaces a lost follower', () => checkReplacement('follower'));
test('an empty node replaces a lost leader', () => checkReplacement('leader'));
test('a replacement that was interrupted is completed by the next leader', () => {
  const cluster = founded();
  const lost = followerOf(cluster);
  cluster.stop(lost);
  cluster.start('d:1', false);
  const before = cluster.leader();
  for (let waits = 0; waits < 1000 && cluster.node(before).core.voters.length < 4; waits += 1)
    cluster.run(STEP_MS);
  // The configuration is joint: four voters in two sets. The leader restarts, and the next leader continues.
  expect(cluster.node(before).core.voters).toHaveLength(4);
  cluster.start(before, false);
  cluster.run(10_000);
  expect(cluster.voters().split(' ')).toHaveLength(3);
  expect(cluster.voters()).toContain('d:1');
});
test('a node that lost its disk is repaired from the others', () => {
  const cluster = founded();
  expect(
    cluster.request(followerOf(cluster), 'configure', edit('e1', 0, document(7, 'x'))).status,
  ).toBe(200);
  const leader = cluster.leader();
  cluster.stop(leader);
  cluster.wipe(leader);
  cluster.start(leader, false);
  cluster.run(9000);
  expect(cluster.node(leader).core.replicaStatus.name).toBe('sound');
  expect(JSON.parse(cluster.request(leader, 'read', {}).body).routing.version).toBe(7);
});
test('blank nodes start a cluster only at the first start', () => {
  const cluster = new ControlCluster();
  for (const id of SEEDS) cluster.start(id, false);
  cluster.run(6000);
  expect(cluster.leader()).toBe('');
});
