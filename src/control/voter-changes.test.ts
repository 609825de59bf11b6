import { expect, test } from 'vitest';
import { FaultCluster, foundedFaultCluster } from './testing/fault-cluster.js';

/** From then on another loss may come. */
const CATCH_UP_MS = 4000;
/** A planned stop may take so long, and no longer. */
const HANDOVER_MS = 4000;
const ELECTED_MS = 6000;

const THREE = ['a:1', 'b:1', 'c:1'];
const FIVE = ['a:1', 'b:1', 'c:1', 'd:1', 'e:1'];

function vote(cluster: FaultCluster, voters: string): boolean {
  return cluster.voters() === voters;
}

function isDown(cluster: FaultCluster, id: string): boolean {
  return cluster.node(id).state === 'down';
}

function checkReplacement(leaves: 'leader' | 'follower'): void {
  const cluster = foundedFaultCluster(THREE);
  cluster.configure(0, 7);
  const leaving = leaves === 'leader' ? cluster.leader() : cluster.follower();
  const [one = '', two = ''] = THREE.filter((other) => isNot(leaving, other));
  cluster.start('n:1', THREE);
  cluster.run(1000);
  cluster.retire(leaving);
  const took = cluster.runUntil(() => isDown(cluster, leaving), 8000, 'it stops');
  expect(took).toBeLessThanOrEqual(HANDOVER_MS);
  // At once another is lost for good: the two that are left are a majority, and hold everything.
  cluster.kill(one);
  cluster.runUntil(() => cluster.hasLeader(), ELECTED_MS, 'a majority leads');
  expect(cluster.voters().split(' ').sort()).toEqual([one, two, 'n:1'].sort());
  expect(cluster.versionAt('n:1')).toBe(7);
  cluster.configure(7, 8);
}

function isNot(id: string, other: string): boolean {
  return id !== other;
}

test('a follower that is replaced as planned hands its seat over before it stops', () =>
  checkReplacement('follower'));
test('a leader that is replaced as planned hands its seat over before it stops', () =>
  checkReplacement('leader'));
test('what a leaving voter holds is held by a majority of the others before it stops', () => {
  const cluster = foundedFaultCluster(THREE);
  const leader = cluster.leader();
  const [leaving = '', late = ''] = THREE.filter((other) => isNot(leader, other));
  // The third one misses the newest configuration: only the leader and the one that leaves have it on disk.
  cluster.stallDisk(late);
  cluster.configure(0, 7);
  cluster.start('n:1', THREE);
  cluster.run(1000);
  cluster.retire(leaving);
  cluster.runUntil(() => isDown(cluster, leaving), 8000, 'it stops');
  cluster.kill(leader);
  cluster.resumeDisk(late);
  cluster.runUntil(() => cluster.hasLeader(), ELECTED_MS, 'a majority leads');
  expect(cluster.versionAt('n:1')).toBe(7);
});
test('a voter without a spare stops at once, and its seat stays', () => {
  const cluster = foundedFaultCluster(THREE);
  const leaving = cluster.follower();
  cluster.retire(leaving);
  const took = cluster.runUntil(() => isDown(cluster, leaving), 8000, 'it stops');
  expect(took).toBeLessThanOrEqual(700);
  expect(cluster.voters()).toBe(THREE.join(' '));
});
test('of five voters one after another may leave for good until two are left', () => {
  const cluster = foundedFaultCluster(FIVE);
  cluster.configure(0, 7);
  const left = [...FIVE];
  let version = 7;
  while (left.length > 2) {
    // In turn a follower and whoever leads.
    const gone = left.length % 2 === 1 ? cluster.follower() : cluster.leader();
    cluster.kill(gone);
    left.splice(left.indexOf(gone), 1);
    cluster.run(20_000);
    cluster.configure(version, version + 1);
    version += 1;
  }
  expect(cluster.versionAt(left[0] ?? '')).toBe(version);
});
test('two of five gone for good leave three voters, which bear one more loss', () => {
  const cluster = foundedFaultCluster(FIVE);
  cluster.kill(cluster.follower());
  cluster.run(20_000);
  cluster.kill(cluster.follower());
  cluster.run(20_000);
  // Two of five are gone for good: three of three bear one more.
  expect(cluster.voters().split(' ')).toHaveLength(3);
  cluster.kill(cluster.follower());
  cluster.runUntil(() => cluster.hasLeader(), ELECTED_MS, 'two of three lead');
});
test('voters that were left out return, and are taken in again within the time to catch up', () => {
  const cluster = foundedFaultCluster(FIVE);
  cluster.configure(0, 7);
  const one = cluster.follower();
  cluster.kill(one);
  const two = cluster.follower();
  cluster.freeze(two);
  cluster.run(15_000);
  expect(cluster.voters().split(' ')).toHaveLength(3);
  cluster.configure(7, 8);
  cluster.thaw(two, 'tick');
  cluster.start(one, THREE);
  const all = FIVE.join(' ');
  const took = cluster.runUntil(() => vote(cluster, all), CATCH_UP_MS, 'both vote again');
  expect(took).toBeLessThanOrEqual(CATCH_UP_MS);
  expect(cluster.versionAt(one)).toBe(8);
});
test('three voters with one gone stay three, since two would bear no more', () => {
  const cluster = foundedFaultCluster(THREE);
  cluster.kill(cluster.follower());
  cluster.run(20_000);
  expect(cluster.voters()).toBe(THREE.join(' '));
});
/** One of the first start that was replaced while it stood still is a spare: it opens no seat of its own. */
test('a voter that returns after it was replaced opens no seat of its own', () => {
  const cluster = foundedFaultCluster(THREE);
  const away = cluster.follower();
  cluster.freeze(away);
  cluster.start('n:1', THREE);
  cluster.run(6000);
  expect(cluster.voters()).toContain('n:1');
  cluster.thaw(away, 'tick');
  cluster.run(6000);
  expect(cluster.voters().split(' ')).toHaveLength(3);
});
/** A part that is not rewritten for long is carried over to the new voters as well. */
test('a part that only the leader and a leaving voter hold is carried over', () => {
  const cluster = foundedFaultCluster(THREE);
  cluster.configure(0, 7);
  const leader = cluster.leader();
  const [leaving = '', behind = ''] = THREE.filter((other) => isNot(leader, other));
  cluster.start('n:1', THREE);
  cluster.run(1000);
  // Only the leader and the one that leaves have it.
  cluster.cutOff(behind);
  cluster.place('m1');
  cluster.run(200);
  cluster.retire(leaving);
  cluster.runUntil(() => isDown(cluster, leaving), 8000, 'it stops');
  cluster.kill(leader);
  cluster.run(100);
  cluster.heal();
  cluster.runUntil(() => cluster.hasLeader(), 2 * ELECTED_MS, 'a majority leads');
  expect(cluster.placed()).toEqual(['m1']);
});
