import { expect, test } from 'vitest';
import { compareVersions, NO_VERSION } from '../common/version.js';
import { FaultCluster, foundedFaultCluster } from './testing/fault-cluster.js';

const THREE = ['a:1', 'b:1', 'c:1'];
const CATCH_UP_MS = 4000;

function joined(isCutToo: boolean): { readonly cluster: FaultCluster; readonly old: string } {
  const cluster = foundedFaultCluster(THREE);
  cluster.configure(0, 7);
  const old = cluster.follower();
  cluster.cutOff(old);
  cluster.run(3000);
  cluster.configure(7, 8);
  const seeds = [old, ...THREE.filter((other) => old !== other)];
  cluster.start('n:1', seeds);
  if (isCutToo) for (const id of seeds.slice(1)) cluster.cutBothWays('n:1', id);
  return { cluster, old };
}

/** It reaches the cut-off node and the others: it answers no read by the former, and never steps back. */
test('a control node that starts beside a cut-off one goes by the newest, and never back', () => {
  const { cluster } = joined(false);
  let held = NO_VERSION;
  for (let steps = 0; steps < CATCH_UP_MS / 50; steps += 1) {
    cluster.run(50);
    const version = cluster.node('n:1').core.relay.version('config');
    expect(compareVersions(version, held)).toBeGreaterThanOrEqual(0);
    held = version;
  }
  const newest = cluster.node(cluster.leader()).core.relay.version('config');
  expect(held).toEqual(newest);
  expect(cluster.versionAt('n:1')).toBe(8);
});
/** It is cut off together with the old one: it has no majority's word, answers nothing and does not vote. */
test('a control node that reaches only a cut-off one answers nothing until it hears of the others', () => {
  const { cluster, old } = joined(true);
  cluster.run(10_000);
  expect(cluster.asked('n:1', 'read', {}, 1500).status).not.toBe(200);
  expect(cluster.asked(old, 'read', {}, 1500).status).not.toBe(200);
  expect(['n:1', old]).not.toContain(cluster.leader());
  cluster.heal();
  cluster.run(CATCH_UP_MS);
  expect(cluster.versionAt(old)).toBe(8);
  // All seats are held again: the new one is a spare, which knows the newest and leaves answers to the voters.
  const newest = cluster.node(cluster.leader()).core.relay.version('config');
  expect(cluster.node('n:1').core.relay.version('config')).toEqual(newest);
  expect(cluster.node('n:1').core.replicaStatus.name).toBe('sound');
});
