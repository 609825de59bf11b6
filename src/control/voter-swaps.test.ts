import { expect, test } from 'vitest';
import { FaultCluster, foundedFaultCluster } from './testing/fault-cluster.js';

const CATCH_UP_MS = 4000;
const ELECTED_MS = 6000;
const SEEDS_TRIED = 25;

const THREE = ['a:1', 'b:1', 'c:1'];
const FIVE = ['a:1', 'b:1', 'c:1', 'd:1', 'e:1'];

function others(ids: readonly string[], ...without: readonly string[]): readonly string[] {
  return ids.filter((id) => !without.includes(id));
}

function isJoint(cluster: FaultCluster): boolean {
  return cluster.voters().split(' ').length === 4;
}

function votesOf(cluster: FaultCluster, ...ids: readonly string[]): boolean {
  return cluster.voters() === [...ids].sort().join(' ');
}

/** The leader of a swap is lost some time after it began, and is back later or not. */
function checkLeaderLostInSwap(how: 'killed' | 'cut' | 'frozen'): void {
  for (let seed = 1; seed <= SEEDS_TRIED; seed += 1) {
    const cluster = foundedFaultCluster(THREE, { seed, mostDelayMs: 40, mostDiskMs: 40 });
    cluster.configure(0, 7);
    const gone = cluster.follower();
    cluster.kill(gone);
    cluster.start('n:1', THREE);
    cluster.runUntil(() => isJoint(cluster), 6000, 'the swap begins');
    cluster.run((seed * 20) % 400);
    const leader = cluster.leader();
    if (how === 'killed') cluster.kill(leader);
    else if (how === 'cut') cluster.cutOff(leader);
    else cluster.freeze(leader);
    cluster.run(5000);
    if (how === 'killed') cluster.start(leader, THREE);
    else if (how === 'cut') cluster.heal();
    else cluster.thaw(leader, 'tick');
    const [third = ''] = others(THREE, gone, leader);
    cluster.runUntil(
      () => votesOf(cluster, leader, third, 'n:1'),
      2 * CATCH_UP_MS,
      `the swap ends, seed ${seed}`,
    );
    expect(cluster.versionAt('n:1'), `seed ${seed}`).toBe(7);
    cluster.configure(7, 8);
  }
}

interface OldViews {
  readonly cluster: FaultCluster;
  readonly leader: string;
  /** Knows nothing of the swap. */
  readonly old: string;
  /** Knows that the swap began, and not that it ended. */
  readonly half: string;
}

/** A swap ended while one voter knows nothing of it and another only its beginning; then a configuration was taken. */
function withOldViews(): OldViews {
  const cluster = foundedFaultCluster(THREE, { leastDelayMs: 15, mostDelayMs: 20, mostDiskMs: 3 });
  cluster.configure(0, 7);
  const leader = cluster.leader();
  const [old = '', half = ''] = others(THREE, leader);
  cluster.start('n:1', THREE);
  cluster.cutOff(old);
  const isSwapped = () => votesOf(cluster, leader, half, 'n:1');
  cluster.runUntil(isSwapped, 6000, 'the swap ends');
  // What told it so is on its way still, and is lost.
  for (const id of [leader, 'n:1']) cluster.cutOneWay(id, half);
  expect(cluster.node(half).core.voters).toHaveLength(4);
  // Elections are faster than news in what follows.
  cluster.lose(old, 'update');
  cluster.run(500);
  cluster.configure(7, 8);
  return { cluster, leader, old, half };
}

/** A leader that stood still heard nothing from anybody in that time, which shows nothing of the others. */
function checkThawedLeader(first: 'input' | 'tick'): void {
  for (let seed = 1; seed <= SEEDS_TRIED; seed += 1) {
    const cluster = foundedFaultCluster(THREE, { seed });
    cluster.start('n:1', THREE);
    cluster.run(3000);
    // All stand still together, as when their host does, so that nobody took over.
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

test('a swap whose leader is killed at any moment of it is ended by the next', () =>
  checkLeaderLostInSwap('killed'));
test('a swap whose leader is cut off at any moment of it is ended by the next', () =>
  checkLeaderLostInSwap('cut'));
test('a swap whose leader is frozen at any moment of it is ended by the next', () =>
  checkLeaderLostInSwap('frozen'));
/**
 * A voter with an old view of the voters and one that saw a swap half done are a majority of the old set. What the new
 * set took meanwhile must be found before they serve anything.
 */
test('a majority of an old set of voters finds what the new set took', () => {
  const { cluster, leader } = withOldViews();
  cluster.kill(leader);
  cluster.run(100);
  cluster.heal();
  cluster.runUntil(() => cluster.hasLeader(), 2 * ELECTED_MS, 'somebody leads');
  expect(cluster.versionAt(cluster.leader())).toBe(8);
});
/** The same, while the only one that knows what was taken is away for a while: until then nobody may serve. */
test('a majority of an old set of voters alone serves nothing', () => {
  for (let awayMs = 0; awayMs <= 5000; awayMs += 100) {
    const { cluster, leader, old, half } = withOldViews();
    cluster.kill(leader);
    cluster.freeze('n:1');
    // What the leader sent last is lost as well.
    cluster.run(100);
    cluster.heal();
    cluster.run(awayMs);
    expect([old, half]).not.toContain(cluster.leader());
    cluster.thaw('n:1');
    cluster.runUntil(() => cluster.hasLeader(), 2 * ELECTED_MS, 'somebody leads');
    expect(cluster.versionAt(cluster.leader()), `away for ${awayMs} ms`).toBe(8);
  }
});
/** Swapped out, back with the disk from before: it neither leads nor votes, and is a spare. */
test('a voter that returns with its old disk after it was replaced does not vote', () => {
  const cluster = foundedFaultCluster(THREE);
  cluster.configure(0, 7);
  const gone = cluster.follower();
  cluster.kill(gone);
  const disk = cluster.disk(gone);
  cluster.start('n:1', THREE);
  const [one = '', two = ''] = others(THREE, gone);
  cluster.runUntil(() => votesOf(cluster, one, two, 'n:1'), 6000, 'it is replaced');
  cluster.configure(7, 8);
  const { epoch } = cluster.node(cluster.leader()).core.elector;
  cluster.restoreDisk(gone, disk);
  cluster.start(gone, THREE);
  cluster.run(6000);
  // No election came of it, and nobody turned to it.
  expect(cluster.node(cluster.leader()).core.elector.epoch).toBe(epoch);
  expect(votesOf(cluster, one, two, 'n:1')).toBe(true);
  // With only this one and a voter there is no majority, whatever its disk says of the voters.
  cluster.freeze('n:1');
  const leader = cluster.leader();
  cluster.freeze(leader);
  cluster.run(ELECTED_MS);
  expect(cluster.leader()).toBe('');
  cluster.thaw(leader);
  // Swapped in again it holds the newest, and not what its disk held.
  cluster.runUntil(() => votesOf(cluster, one, two, gone), 12_000, 'it is taken in');
  const [third = ''] = others([one, two], cluster.leader());
  cluster.kill(third);
  cluster.runUntil(() => cluster.hasLeader(), ELECTED_MS, 'somebody leads');
  expect(cluster.versionAt(gone)).toBe(8);
});
/** Two are replaced at the same time. */
test('two voters are replaced one after the other', () => {
  for (let seed = 1; seed <= SEEDS_TRIED; seed += 1) {
    const cluster = foundedFaultCluster(FIVE, { seed, mostDelayMs: 30 });
    cluster.configure(0, 7);
    const first = cluster.follower();
    cluster.kill(first);
    const second = seed % 2 === 0 ? cluster.leader() : cluster.follower();
    cluster.kill(second);
    cluster.start('n:1', THREE);
    cluster.start('o:1', THREE);
    cluster.runUntil(
      () => votesOf(cluster, ...others(FIVE, first, second), 'n:1', 'o:1'),
      10_000,
      `both are replaced, seed ${seed}`,
    );
    const [one = '', two = ''] = others(FIVE, first, second);
    cluster.kill(one);
    cluster.kill(two);
    cluster.runUntil(() => cluster.hasLeader(), ELECTED_MS, 'three of five lead');
    expect(cluster.versionAt('o:1')).toBe(7);
  }
});
test('a leader that stood still judges nobody silent, its input first', () =>
  checkThawedLeader('input'));
test('a leader that stood still judges nobody silent, its tick first', () =>
  checkThawedLeader('tick'));
/** A leader that leaves is cut off or frozen in the midst of handing its seat over. */
test('a leader that is killed while it hands its seat over is replaced', () => {
  for (let seed = 1; seed <= SEEDS_TRIED; seed += 1) {
    const cluster = foundedFaultCluster(THREE, { seed, mostDelayMs: 40, mostDiskMs: 40 });
    cluster.configure(0, 7);
    cluster.start('n:1', THREE);
    cluster.run(1500);
    const leader = cluster.leader();
    cluster.retire(leader);
    cluster.run((seed * 20) % 500);
    cluster.kill(leader);
    cluster.runUntil(
      () => votesOf(cluster, ...others(THREE, leader), 'n:1'),
      2 * CATCH_UP_MS,
      `it is replaced, seed ${seed}`,
    );
    expect(cluster.versionAt('n:1'), `seed ${seed}`).toBe(7);
  }
});
/** A voter with a stalled disk is silent to nobody, and is no reason for a swap or a second loss. */
test('a voter whose disk stalls stays a voter, and catches up', () => {
  const cluster = foundedFaultCluster(THREE);
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
  cluster.runUntil(() => cluster.hasLeader(), ELECTED_MS, 'somebody leads');
  expect(cluster.versionAt(stalled)).toBe(8);
});
/** A majority that knows the newest voters is not held up by one that does not know the candidate. */
test('a voter that does not know the candidate learns of it and votes', () => {
  const cluster = foundedFaultCluster(THREE);
  cluster.configure(0, 7);
  const leader = cluster.leader();
  const [gone = '', behind = ''] = others(THREE, leader);
  cluster.start('n:1', THREE);
  cluster.run(1500);
  // The one that leaves sees the swap through; the third hears nothing of it.
  cluster.cutOff(behind);
  cluster.retire(gone);
  cluster.runUntil(() => votesOf(cluster, leader, behind, 'n:1'), 6000, 'it is replaced');
  cluster.run(1000);
  cluster.kill(leader);
  cluster.heal();
  cluster.runUntil(() => cluster.hasLeader(), 2 * ELECTED_MS, 'two of three lead');
  expect(cluster.versionAt(behind)).toBe(7);
});
