import { expect, test } from 'vitest';
import { FaultCluster, formedFaultCluster } from './testing/fault-cluster.js';

/** After this time another failure may follow. */
const CATCH_UP_MS = 4000;
/** The maximum duration of a planned stop. */
const HANDOVER_LIMIT_MS = 4000;
const ELECTION_LIMIT_MS = 6000;

const THREE = ['a:1', 'b:1', 'c:1'];
const FIVE = ['a:1', 'b:1', 'c:1', 'd:1', 'e:1'];

function areVoters(cluster: FaultCluster, voters: string): boolean {
  return cluster.voters() === voters;
}

function isDown(cluster: FaultCluster, id: string): boolean {
  return cluster.node(id).state === 'down';
}

function checkReplacement(departingRole: 'leader' | 'follower'): void {
  const cluster = formedFaultCluster(THREE);
  cluster.configure(0, 7);
  const departing = departingRole === 'leader' ? cluster.leader() : cluster.follower();
  const [first = '', second = ''] = THREE.filter((other) => isOther(departing, other));
  cluster.start('n:1', THREE);
  cluster.run(1000);
  cluster.retire(departing);
  const tookMs = cluster.runUntil(
    () => isDown(cluster, departing),
    8000,
    'the departing voter stops',
  );
  expect(tookMs).toBeLessThanOrEqual(HANDOVER_LIMIT_MS);
  // Another voter is lost permanently right after that: the two that remain are a majority, and store the complete state.
  cluster.kill(first);
  cluster.runUntil(() => cluster.hasLeader(), ELECTION_LIMIT_MS, 'a leader serves');
  expect(cluster.voters().split(' ').sort()).toEqual([first, second, 'n:1'].sort());
  expect(cluster.versionAt('n:1')).toBe(7);
  cluster.configure(7, 8);
}

function isOther(id: string, other: string): boolean {
  return id !== other;
}

test('a follower in a planned stop is replaced before it stops', () =>
  checkReplacement('follower'));
test('a leader in a planned stop is replaced before it stops', () => checkReplacement('leader'));
test('the state of a departing voter is stored at a majority of the others before it stops', () => {
  const cluster = formedFaultCluster(THREE);
  const leader = cluster.leader();
  const [departing = '', lagging = ''] = THREE.filter((other) => isOther(leader, other));
  // The third voter misses the newest configuration: only the leader and the departing voter have it on disk.
  cluster.stallDisk(lagging);
  cluster.configure(0, 7);
  cluster.start('n:1', THREE);
  cluster.run(1000);
  cluster.retire(departing);
  cluster.runUntil(() => isDown(cluster, departing), 8000, 'the departing voter stops');
  cluster.kill(leader);
  cluster.resumeDisk(lagging);
  cluster.runUntil(() => cluster.hasLeader(), ELECTION_LIMIT_MS, 'a leader serves');
  expect(cluster.versionAt('n:1')).toBe(7);
});
test('a voter without a spare to replace it stops at once, and stays in the set of voters', () => {
  const cluster = formedFaultCluster(THREE);
  const departing = cluster.follower();
  cluster.retire(departing);
  const tookMs = cluster.runUntil(
    () => isDown(cluster, departing),
    8000,
    'the departing voter stops',
  );
  expect(tookMs).toBeLessThanOrEqual(700);
  expect(cluster.voters()).toBe(THREE.join(' '));
});
test('five voters may be lost permanently one after another until two remain', () => {
  const cluster = formedFaultCluster(FIVE);
  cluster.configure(0, 7);
  const remaining = [...FIVE];
  let version = 7;
  while (remaining.length > 2) {
    // Alternately a follower and the leader.
    const lost = remaining.length % 2 === 1 ? cluster.follower() : cluster.leader();
    cluster.kill(lost);
    remaining.splice(remaining.indexOf(lost), 1);
    cluster.run(20_000);
    cluster.configure(version, version + 1);
    version += 1;
  }
  expect(cluster.versionAt(remaining[0] ?? '')).toBe(version);
});
test('after the permanent loss of two of five voters the remaining three tolerate one more', () => {
  const cluster = formedFaultCluster(FIVE);
  cluster.kill(cluster.follower());
  cluster.run(20_000);
  cluster.kill(cluster.follower());
  cluster.run(20_000);
  // The lost voters are removed: a set of three tolerates one more loss.
  expect(cluster.voters().split(' ')).toHaveLength(3);
  cluster.kill(cluster.follower());
  cluster.runUntil(
    () => cluster.hasLeader(),
    ELECTION_LIMIT_MS,
    'a leader of two of three voters serves',
  );
});
test('removed voters that return become voters again within the time to catch up', () => {
  const cluster = formedFaultCluster(FIVE);
  cluster.configure(0, 7);
  const first = cluster.follower();
  cluster.kill(first);
  const second = cluster.follower();
  cluster.freeze(second);
  cluster.run(15_000);
  expect(cluster.voters().split(' ')).toHaveLength(3);
  cluster.configure(7, 8);
  cluster.thaw(second, 'tick');
  cluster.start(first, THREE);
  const all = FIVE.join(' ');
  const tookMs = cluster.runUntil(
    () => areVoters(cluster, all),
    CATCH_UP_MS,
    'both are voters again',
  );
  expect(tookMs).toBeLessThanOrEqual(CATCH_UP_MS);
  expect(cluster.versionAt(first)).toBe(8);
});
test('three voters of which one is lost stay three, since two would tolerate no more losses', () => {
  const cluster = formedFaultCluster(THREE);
  cluster.kill(cluster.follower());
  cluster.run(20_000);
  expect(cluster.voters()).toBe(THREE.join(' '));
});
/** A node of the first start that was replaced while it was frozen is a spare: it is not added to the voters. */
test('a voter that returns after it was replaced is not added to the voters', () => {
  const cluster = formedFaultCluster(THREE);
  const frozen = cluster.follower();
  cluster.freeze(frozen);
  cluster.start('n:1', THREE);
  cluster.run(6000);
  expect(cluster.voters()).toContain('n:1');
  cluster.thaw(frozen, 'tick');
  cluster.run(6000);
  expect(cluster.voters().split(' ')).toHaveLength(3);
});
/** A partition that has not been written for a long time must reach the new voters as well. */
test('a partition stored only at the leader and a departing voter reaches the new voters', () => {
  const cluster = formedFaultCluster(THREE);
  cluster.configure(0, 7);
  const leader = cluster.leader();
  const [departing = '', lagging = ''] = THREE.filter((other) => isOther(leader, other));
  cluster.start('n:1', THREE);
  cluster.run(1000);
  // Only the leader and the departing voter store it.
  cluster.cutOff(lagging);
  cluster.place('m1');
  cluster.run(200);
  cluster.retire(departing);
  cluster.runUntil(() => isDown(cluster, departing), 8000, 'the departing voter stops');
  cluster.kill(leader);
  cluster.run(100);
  cluster.heal();
  cluster.runUntil(() => cluster.hasLeader(), 2 * ELECTION_LIMIT_MS, 'a leader serves');
  expect(cluster.placed()).toEqual(['m1']);
});
