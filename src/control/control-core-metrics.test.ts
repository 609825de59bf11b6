import { expect, test } from 'vitest';
import type { ControlMetrics } from './control-metrics.js';
import {
  ControlCluster,
  documentOf,
  editOf,
  formedCluster,
  SEEDS,
} from './testing/control-cluster.js';

/** Pings are sent every 300 ms, and their replies take two steps of the cluster. */
const MAX_CONTACT_AGE_MS = 400;

function metricsOf(cluster: ControlCluster, id: string): ControlMetrics {
  return cluster.node(id).core.metrics(cluster.now);
}

test('a cluster without faults reports one leader, contact with a majority and equal versions', () => {
  const cluster = formedCluster();
  const answer = cluster.request(
    cluster.leader(),
    'configure',
    editOf('e1', 0, documentOf(7, 'x')),
    2000,
  );
  expect(answer.status).toBe(200);
  const leader = metricsOf(cluster, cluster.leader());
  expect(leader).toMatchObject({
    isLeaderKnown: true,
    isLeading: true,
    isServing: true,
    replica: 'sound',
    corruptPartitions: 0,
    voters: { members: 3, reachable: 3, isVoter: true, isJoint: false },
  });
  expect(leader.leaseLeftMs).toBeGreaterThan(0);
  expect(leader.majorityContactAgeMs).toBeLessThanOrEqual(MAX_CONTACT_AGE_MS);
  expect(leader.configHeld).toEqual(leader.configCommitted);
  const follower = metricsOf(cluster, cluster.follower());
  expect(follower).toMatchObject({ epoch: leader.epoch, isLeaderKnown: true, isLeading: false });
  expect(follower.leaseLeftMs).toBe(0);
  expect(follower.configCommitted).toEqual(leader.configCommitted);
  expect(follower.events.votesGranted).toBeGreaterThan(0);
});
test('an isolated node reports the age of its last contact until it is connected again', () => {
  const cluster = formedCluster();
  const former = cluster.leader();
  const before = metricsOf(cluster, former);
  cluster.cut(former);
  cluster.run(4000);
  const during = metricsOf(cluster, former);
  expect(during).toMatchObject({ isLeaderKnown: false, isLeading: false, mayOrder: false });
  expect(during.majorityContactAgeMs).toBeGreaterThan(3500);
  expect(during.voters).toMatchObject({ members: 3, reachable: 1 });
  // It reaches no majority, so it does not raise the epoch by elections that it cannot win.
  expect(during.events.electionsStarted).toBe(before.events.electionsStarted);
  const successor = metricsOf(cluster, cluster.leader());
  expect(successor.epoch).toBeGreaterThan(during.epoch);
  expect(successor.majorityContactAgeMs).toBeLessThanOrEqual(MAX_CONTACT_AGE_MS);
  cluster.heal(former);
  cluster.run(2000);
  const after = metricsOf(cluster, former);
  expect(after).toMatchObject({ isLeaderKnown: true, voters: { reachable: 3 } });
  expect(after.majorityContactAgeMs).toBeLessThanOrEqual(MAX_CONTACT_AGE_MS);
  expect(after.events.leaderChanges).toBeGreaterThan(before.events.leaderChanges);
});
test('a node with a wiped disk reports its repair', () => {
  const cluster = formedCluster();
  const id = cluster.follower();
  cluster.stop(id);
  cluster.wipe(id);
  cluster.start(id, false);
  const blank = metricsOf(cluster, id);
  expect(blank.replica).toBe('blank');
  expect(blank.majorityContactAgeMs).toBeUndefined();
  cluster.run(4000);
  expect(metricsOf(cluster, id)).toMatchObject({ replica: 'sound', events: { repairs: 1 } });
});
test('a joint change of voters is reported while it lasts', () => {
  const cluster = formedCluster();
  const leader = cluster.leader();
  const before = metricsOf(cluster, leader).events.voterChanges;
  cluster.stop(cluster.follower());
  cluster.start('d:1', false);
  expect(metricsOf(cluster, 'd:1').voters.isVoter).toBe(false);
  let jointSteps = 0;
  for (let step = 0; step < 1000; step += 1) {
    cluster.run(10);
    const { voters } = metricsOf(cluster, leader);
    if (!voters.isJoint) continue;
    expect(voters.members).toBe(4);
    jointSteps += 1;
  }
  expect(jointSteps).toBeGreaterThan(0);
  expect(metricsOf(cluster, leader)).toMatchObject({
    voters: { members: 3, reachable: 3, isJoint: false },
    events: { voterChanges: before + 2 },
  });
  expect(metricsOf(cluster, 'd:1').voters.isVoter).toBe(true);
});
test('a configuration that is not stored at a majority is reported as held, not as committed', () => {
  const cluster = formedCluster();
  const leader = cluster.leader();
  for (const id of SEEDS) if (id !== leader) cluster.node(id).disk = 'stalled';
  const before = metricsOf(cluster, leader);
  cluster.request(leader, 'configure', editOf('e1', 0, documentOf(7, 'x')), 300);
  const after = metricsOf(cluster, leader);
  // Held by the leader, but not known to be stored at a majority.
  expect(after.configHeld.count).toBe(before.configHeld.count + 1);
  expect(after.configCommitted).toEqual(before.configCommitted);
});
test('edits are counted by outcome at the node that decides on them', () => {
  const cluster = formedCluster();
  const leader = cluster.leader();
  const follower = cluster.follower();
  const first = editOf('e1', 0, documentOf(7, 'x'));
  expect(cluster.request(leader, 'configure', first).status).toBe(200);
  // A retry of the same edit, forwarded by a follower.
  expect(cluster.request(follower, 'configure', first).status).toBe(200);
  expect(cluster.request(leader, 'configure', editOf('e2', 0, documentOf(8, 'y'))).status).toBe(
    409,
  );
  expect(cluster.request(leader, 'configure', editOf('e3', 7, documentOf(7, 'z'))).status).toBe(
    400,
  );
  expect(cluster.request(follower, 'read', {}).status).toBe(200);
  expect(metricsOf(cluster, leader).edits).toEqual({
    accepted: 2,
    acknowledgedAgain: 1,
    refused: { 'base-changed': 1, invalid: 1, 'too-old': 0, other: 0 },
    unclear: { 'no-majority': 0, 'leader-lost': 0, timeout: 0, forgotten: 0 },
    unserved: 0,
    forwarded: 0,
  });
  // The follower forwarded the edit; the leader decided and counted it.
  expect(metricsOf(cluster, follower).edits).toMatchObject({ accepted: 0, forwarded: 1 });
});
test('an edit at an isolated leader is counted as unclear', () => {
  const cluster = formedCluster();
  const leader = cluster.leader();
  cluster.cut(leader);
  cluster.submit(leader, 'configure', editOf('e1', 0, documentOf(7, 'x')));
  cluster.run(5000);
  expect(metricsOf(cluster, leader).edits.unclear['leader-lost']).toBe(1);
  // The node no longer knows a leader, and rejects the edit without effect.
  expect(cluster.request(leader, 'configure', editOf('e2', 0, documentOf(8))).status).toBe(503);
  expect(metricsOf(cluster, leader).edits).toMatchObject({ accepted: 0, unserved: 1 });
});
test('a zone evacuation that exceeds its maximum age is counted', () => {
  const cluster = formedCluster();
  const leader = cluster.leader();
  cluster.freeze(leader);
  cluster.submit(leader, 'zone', { id: 'z1', zone: 'north', empty: true });
  cluster.run(6000);
  cluster.thaw(leader);
  cluster.run(500);
  // The command waited at a frozen node for six seconds, in which it may have been retried and its effect overridden.
  expect(metricsOf(cluster, leader).edits.refused['too-old']).toBe(1);
});
