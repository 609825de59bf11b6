import { expect, test } from 'vitest';
import { compareVersions, NO_VERSION } from '../common/version.js';
import { FaultCluster, formedFaultCluster } from './testing/fault-cluster.js';

const THREE = ['a:1', 'b:1', 'c:1'];
const CATCH_UP_MS = 4000;

function startBesideIsolated(isIsolatedToo: boolean): {
  readonly cluster: FaultCluster;
  readonly isolated: string;
} {
  const cluster = formedFaultCluster(THREE);
  cluster.configure(0, 7);
  const isolated = cluster.follower();
  cluster.cutOff(isolated);
  cluster.run(3000);
  cluster.configure(7, 8);
  const seeds = [isolated, ...THREE.filter((other) => isolated !== other)];
  cluster.start('n:1', seeds);
  if (isIsolatedToo) for (const id of seeds.slice(1)) cluster.cutBothWays('n:1', id);
  return { cluster, isolated };
}

/** The new node reaches the isolated node and the others: it ends with the newest configuration, and its version never decreases. */
test('a control node that starts beside an isolated one adopts the newest configuration, and never an older one', () => {
  const { cluster } = startBesideIsolated(false);
  let lastVersion = NO_VERSION;
  for (let steps = 0; steps < CATCH_UP_MS / 50; steps += 1) {
    cluster.run(50);
    const version = cluster.node('n:1').core.relay.version('config');
    expect(compareVersions(version, lastVersion)).toBeGreaterThanOrEqual(0);
    lastVersion = version;
  }
  const newest = cluster.node(cluster.leader()).core.relay.version('config');
  expect(lastVersion).toEqual(newest);
  expect(cluster.versionAt('n:1')).toBe(8);
});
/** The new node is isolated together with the old one: without a majority it answers nothing and does not vote. */
test('a control node that reaches only an isolated one answers nothing until it reaches the others', () => {
  const { cluster, isolated } = startBesideIsolated(true);
  cluster.run(10_000);
  expect(cluster.request('n:1', 'read', {}, 1500).status).not.toBe(200);
  expect(cluster.request(isolated, 'read', {}, 1500).status).not.toBe(200);
  expect(['n:1', isolated]).not.toContain(cluster.leader());
  cluster.heal();
  cluster.run(CATCH_UP_MS);
  expect(cluster.versionAt(isolated)).toBe(8);
  // All three voters are back: the new node is a spare, which has the newest configuration and answers no reads itself.
  const newest = cluster.node(cluster.leader()).core.relay.version('config');
  expect(cluster.node('n:1').core.relay.version('config')).toEqual(newest);
  expect(cluster.node('n:1').core.replicaStatus.name).toBe('sound');
});
