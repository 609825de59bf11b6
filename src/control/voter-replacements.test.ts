import { expect, test } from 'vitest';
import { FaultCluster, formedFaultCluster } from './testing/fault-cluster.js';

const CATCH_UP_MS = 4000;
const ELECTION_LIMIT_MS = 6000;
const SEED_COUNT = 25;

const THREE = ['a:1', 'b:1', 'c:1'];
const FIVE = ['a:1', 'b:1', 'c:1', 'd:1', 'e:1'];

function others(ids: readonly string[], ...without: readonly string[]): readonly string[] {
  return ids.filter((id) => !without.includes(id));
}

function isJoint(cluster: FaultCluster): boolean {
  return cluster.voters().split(' ').length === 4;
}

function areVoters(cluster: FaultCluster, ...ids: readonly string[]): boolean {
  return cluster.voters() === [...ids].sort().join(' ');
}

/** The leader is lost at various times after a replacement began, and returns 5 s later. */
function checkLeaderLostInReplacement(how: 'killed' | 'cut' | 'frozen'): void {
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    const cluster = formedFaultCluster(THREE, { seed, maxDelayMs: 40, maxDiskMs: 40 });
    cluster.configure(0, 7);
    const lost = cluster.follower();
    cluster.kill(lost);
    cluster.start('n:1', THREE);
    cluster.runUntil(() => isJoint(cluster), 6000, 'the replacement begins');
    cluster.run((seed * 20) % 400);
    const leader = cluster.leader();
    if (how === 'killed') cluster.kill(leader);
    else if (how === 'cut') cluster.cutOff(leader);
    else cluster.freeze(leader);
    cluster.run(5000);
    if (how === 'killed') cluster.start(leader, THREE);
    else if (how === 'cut') cluster.heal();
    else cluster.thaw(leader, 'tick');
    const [third = ''] = others(THREE, lost, leader);
    cluster.runUntil(
      () => areVoters(cluster, leader, third, 'n:1'),
      2 * CATCH_UP_MS,
      `the replacement ends, seed ${seed}`,
    );
    expect(cluster.versionAt('n:1'), `seed ${seed}`).toBe(7);
    cluster.configure(7, 8);
  }
}

interface StaleVoters {
  readonly cluster: FaultCluster;
  readonly leader: string;
  /** A voter that knows nothing of the replacement. */
  readonly stale: string;
  /** A voter that knows that the replacement began, but not that it ended. */
  readonly joint: string;
}

/**
 * A replacement has ended, while one voter knows nothing of it and another only that it began; then a configuration was
 * accepted.
 */
function withStaleVoters(): StaleVoters {
  const cluster = formedFaultCluster(THREE, { minDelayMs: 15, maxDelayMs: 20, maxDiskMs: 3 });
  cluster.configure(0, 7);
  const leader = cluster.leader();
  const [stale = '', joint = ''] = others(THREE, leader);
  cluster.start('n:1', THREE);
  cluster.cutOff(stale);
  const isReplaced = () => areVoters(cluster, leader, joint, 'n:1');
  cluster.runUntil(isReplaced, 6000, 'the replacement ends');
  // The messages about the end of the replacement are still in flight, and are lost.
  for (const id of [leader, 'n:1']) cluster.cutOneWay(id, joint);
  expect(cluster.node(joint).core.voters).toHaveLength(4);
  // From now on elections are faster than updates.
  cluster.dropMessages(stale, 'update');
  cluster.run(500);
  cluster.configure(7, 8);
  return { cluster, leader, stale, joint };
}

/** A frozen leader receives nothing, so that the silence of the other voters in that time means nothing. */
function checkThawedLeader(first: 'input' | 'tick'): void {
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    const cluster = formedFaultCluster(THREE, { seed });
    cluster.start('n:1', THREE);
    cluster.run(3000);
    // All voters are frozen together, as when their host is, so that none takes over.
    const leader = cluster.leader();
    const stopped = [leader, ...others(THREE, leader)];
    for (const id of stopped) cluster.freeze(id);
    cluster.run(1900 + seed * 60);
    for (const id of stopped) cluster.thaw(id, first);
    function isChanged(): boolean {
      const seen = cluster.node(leader).core.voters;
      return seen.length > 0 && seen.join(' ') !== THREE.join(' ');
    }
    for (let steps = 0; steps < 100; steps += 1) {
      cluster.run(50);
      expect(isChanged(), `seed ${seed}`).toBe(false);
    }
  }
}

test('a replacement whose leader is killed at any time is completed by the next leader', () =>
  checkLeaderLostInReplacement('killed'));
test('a replacement whose leader is isolated at any time is completed by the next leader', () =>
  checkLeaderLostInReplacement('cut'));
test('a replacement whose leader is frozen at any time is completed by the next leader', () =>
  checkLeaderLostInReplacement('frozen'));
/**
 * A voter that knows only the old set of voters and one that knows the joint configuration are a majority of the old set.
 * They must find what the new set accepted in the meantime before they serve anything.
 */
test('a majority of an old set of voters finds what the new set accepted', () => {
  const { cluster, leader } = withStaleVoters();
  cluster.kill(leader);
  cluster.run(100);
  cluster.heal();
  cluster.runUntil(() => cluster.hasLeader(), 2 * ELECTION_LIMIT_MS, 'a leader serves');
  expect(cluster.versionAt(cluster.leader())).toBe(8);
});
/** As above, but the only other node with the accepted configuration is frozen for a while: until it returns no node may serve. */
test('a majority of an old set of voters alone serves nothing', () => {
  for (let awayMs = 0; awayMs <= 5000; awayMs += 100) {
    const { cluster, leader, stale, joint } = withStaleVoters();
    cluster.kill(leader);
    cluster.freeze('n:1');
    // The last messages of the leader are lost as well.
    cluster.run(100);
    cluster.heal();
    cluster.run(awayMs);
    expect([stale, joint]).not.toContain(cluster.leader());
    cluster.thaw('n:1');
    cluster.runUntil(() => cluster.hasLeader(), 2 * ELECTION_LIMIT_MS, 'a leader serves');
    expect(cluster.versionAt(cluster.leader()), `away for ${awayMs} ms`).toBe(8);
  }
});
/** A replaced voter returns with the disk from before its replacement: it is a spare, and neither leads nor votes. */
test('a voter that returns with its old disk after it was replaced does not vote', () => {
  const cluster = formedFaultCluster(THREE);
  cluster.configure(0, 7);
  const lost = cluster.follower();
  cluster.kill(lost);
  const disk = cluster.disk(lost);
  cluster.start('n:1', THREE);
  const [one = '', two = ''] = others(THREE, lost);
  cluster.runUntil(() => areVoters(cluster, one, two, 'n:1'), 6000, 'it is replaced');
  cluster.configure(7, 8);
  const { epoch } = cluster.node(cluster.leader()).core.elector;
  cluster.restoreDisk(lost, disk);
  cluster.start(lost, THREE);
  cluster.run(6000);
  // Its return causes no election, and no change of the voters.
  expect(cluster.node(cluster.leader()).core.elector.epoch).toBe(epoch);
  expect(areVoters(cluster, one, two, 'n:1')).toBe(true);
  // It forms no majority with a single voter, whichever voters its disk names.
  cluster.freeze('n:1');
  const leader = cluster.leader();
  cluster.freeze(leader);
  cluster.run(ELECTION_LIMIT_MS);
  expect(cluster.leader()).toBe('');
  cluster.thaw(leader);
  // As a voter again it has the newest configuration, and not the one from its disk.
  cluster.runUntil(() => areVoters(cluster, one, two, lost), 12_000, 'it becomes a voter again');
  const [third = ''] = others([one, two], cluster.leader());
  cluster.kill(third);
  cluster.runUntil(() => cluster.hasLeader(), ELECTION_LIMIT_MS, 'a leader serves');
  expect(cluster.versionAt(lost)).toBe(8);
});
/** Both are lost at the same time. */
test('two voters are replaced one after the other', () => {
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    const cluster = formedFaultCluster(FIVE, { seed, maxDelayMs: 30 });
    cluster.configure(0, 7);
    const first = cluster.follower();
    cluster.kill(first);
    const second = seed % 2 === 0 ? cluster.leader() : cluster.follower();
    cluster.kill(second);
    cluster.start('n:1', THREE);
    cluster.start('o:1', THREE);
    cluster.runUntil(
      () => areVoters(cluster, ...others(FIVE, first, second), 'n:1', 'o:1'),
      10_000,
      `both are replaced, seed ${seed}`,
    );
    const [one = '', two = ''] = others(FIVE, first, second);
    cluster.kill(one);
    cluster.kill(two);
    cluster.runUntil(
      () => cluster.hasLeader(),
      ELECTION_LIMIT_MS,
      'a leader of three of five voters serves',
    );
    expect(cluster.versionAt('o:1')).toBe(7);
  }
});
test('a leader that was frozen considers no voter idle if its input is handled first', () =>
  checkThawedLeader('input'));
test('a leader that was frozen considers no voter idle if its tick is handled first', () =>
  checkThawedLeader('tick'));
/** A leader in a planned stop is killed at various times before its replacement has completed. */
test('a leader that is killed during its planned stop is replaced', () => {
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    const cluster = formedFaultCluster(THREE, { seed, maxDelayMs: 40, maxDiskMs: 40 });
    cluster.configure(0, 7);
    cluster.start('n:1', THREE);
    cluster.run(1500);
    const leader = cluster.leader();
    cluster.retire(leader);
    cluster.run((seed * 20) % 500);
    cluster.kill(leader);
    cluster.runUntil(
      () => areVoters(cluster, ...others(THREE, leader), 'n:1'),
      2 * CATCH_UP_MS,
      `it is replaced, seed ${seed}`,
    );
    expect(cluster.versionAt('n:1'), `seed ${seed}`).toBe(7);
  }
});
/** A voter with a stalled disk still sends messages: it is not replaced, and does not count as lost. */
test('a voter whose disk stalls stays a voter, and catches up', () => {
  const cluster = formedFaultCluster(THREE);
  cluster.configure(0, 7);
  const stalled = cluster.follower();
  cluster.stallDisk(stalled);
  cluster.start('n:1', THREE);
  cluster.run(5000);
  cluster.configure(7, 8);
  cluster.resumeDisk(stalled);
  cluster.run(CATCH_UP_MS);
  const [third = ''] = others(THREE, stalled, cluster.leader());
  cluster.kill(third);
  cluster.runUntil(() => cluster.hasLeader(), ELECTION_LIMIT_MS, 'a leader serves');
  expect(cluster.versionAt(stalled)).toBe(8);
});
/** A voter that does not know the candidate does not block a majority that knows the newest voters. */
test('a voter that does not know the candidate learns of it and votes', () => {
  const cluster = formedFaultCluster(THREE);
  cluster.configure(0, 7);
  const leader = cluster.leader();
  const [departing = '', lagging = ''] = others(THREE, leader);
  cluster.start('n:1', THREE);
  cluster.run(1500);
  // The departing voter takes part in its own replacement; the third voter learns nothing of it.
  cluster.cutOff(lagging);
  cluster.retire(departing);
  cluster.runUntil(() => areVoters(cluster, leader, lagging, 'n:1'), 6000, 'it is replaced');
  cluster.run(1000);
  cluster.kill(leader);
  cluster.heal();
  cluster.runUntil(
    () => cluster.hasLeader(),
    2 * ELECTION_LIMIT_MS,
    'a leader of two of three voters serves',
  );
  expect(cluster.versionAt(lagging)).toBe(7);
});
