import { expect, test } from 'vitest';
import { CONFIG_PARTITION } from '../state/partition-names.js';
import { FaultCluster, formedFaultCluster } from './testing/fault-cluster.js';

const TWO = ['a:1', 'b:1'];
const THREE = ['a:1', 'b:1', 'c:1'];
const FIVE = ['a:1', 'b:1', 'c:1', 'd:1', 'e:1'];
/** `recover_s` of the deployments, in milliseconds. */
const RECOVERY_LIMIT_MS = 12_000;
const CHANGE_LIMIT_MS = 10_000;
/** A healed node no longer counts as lost after this time (`catch_up_s`). */
const CATCH_UP_MS = 4500;
const SEED_COUNT = 15;

function others(ids: readonly string[], ...without: readonly string[]): readonly string[] {
  return ids.filter((id) => !without.includes(id));
}

function areVoters(cluster: FaultCluster, ids: readonly string[]): boolean {
  return cluster.voters() === [...ids].sort().join(' ');
}

function isJointOf(cluster: FaultCluster, ids: readonly string[]): boolean {
  return cluster.voters().split(' ').length > ids.length;
}

/** The configuration on a node's disk: its voters are those that the node knows after a restart. */
function configOnDisk(cluster: FaultCluster, id: string): string {
  const stored = cluster.disk(id).find(({ partition }) => partition === CONFIG_PARTITION);
  return stored?.body ?? '';
}

function killAll(cluster: FaultCluster): void {
  for (const [id, node] of cluster.nodes) if (node.state !== 'down') cluster.kill(id);
}

/** Starts these nodes with their disks, and returns the version of the configuration that the new leader serves. */
function restart(
  cluster: FaultCluster,
  ids: readonly string[],
  seeds: readonly string[],
  description: string,
): number | undefined {
  cluster.run(500);
  cluster.heal();
  for (const id of ids) cluster.start(id, seeds);
  cluster.runUntil(() => cluster.hasLeader(), RECOVERY_LIMIT_MS, description);
  return cluster.versionAt(cluster.leader());
}

interface ThreeGenerations {
  readonly cluster: FaultCluster;
  readonly leader: string;
  /** The voter of the newest set whose disk has the set before both changes. */
  readonly outdated: string;
  /** The node that was a voter until the second change. */
  readonly former: string;
  /** The further machine, which alone has the newest set apart from the leader. */
  readonly further: string;
}

/** Two changes of voters leave three nodes with three sets of voters on their disks. Version 8 is acknowledged by the last. */
function threeGenerations(ids: readonly string[], seed: number): ThreeGenerations {
  const cluster = formedFaultCluster(ids, { seed, maxDelayMs: 20, maxDiskMs: 20 });
  cluster.configure(0, 7);
  const leader = cluster.leader();
  const [outdated = '', former = '', ...rest] = others(ids, leader);
  const further = 'n:1';
  cluster.start(further, ids.slice(0, 3));
  cluster.run(1500);
  cluster.cutOff(outdated);
  const afterFirst = [leader, former, further, ...rest];
  cluster.runUntil(() => areVoters(cluster, afterFirst), CHANGE_LIMIT_MS, 'the first change');
  // What it is sent from now on it forgets with its process.
  cluster.stallDisk(outdated);
  cluster.heal();
  cluster.run(CATCH_UP_MS);
  cluster.cutOff(former);
  const afterSecond = [leader, outdated, further, ...rest];
  cluster.runUntil(() => areVoters(cluster, afterSecond), CHANGE_LIMIT_MS, 'the second change');
  cluster.configure(7, 8);
  killAll(cluster);
  return { cluster, leader, outdated, former, further };
}

// Guards against CONFIG (review/6): after a restart of all, the newest voters were on one disk and sent to nobody, so that a
// majority of them was up and nobody was ever elected.
test('three voters with three generations of voters on their disks elect a leader after a restart of all', () => {
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    const { cluster, outdated, former, further } = threeGenerations(THREE, seed);
    expect(configOnDisk(cluster, outdated), 'the first set').not.toContain(further);
    expect(configOnDisk(cluster, former), 'the second set').not.toContain(outdated);
    expect(configOnDisk(cluster, further), 'the third set').not.toContain(former);
    const version = restart(cluster, [outdated, former, further], THREE, `a leader, seed ${seed}`);
    expect(version, `seed ${seed}`).toBe(8);
    expect(cluster.versionAt(outdated), `seed ${seed}`).toBe(8);
  }
});

test('a machine in the place of the lost one joins three voters of three generations', () => {
  const { cluster, outdated, former, further } = threeGenerations(THREE, 1);
  cluster.run(500);
  cluster.heal();
  for (const id of [outdated, former, further]) cluster.start(id, THREE);
  cluster.run(1500);
  cluster.start('m:1', THREE);
  cluster.runUntil(() => cluster.hasLeader(), RECOVERY_LIMIT_MS, 'a leader');
  expect(cluster.versionAt('m:1') ?? cluster.versionAt(further)).toBe(8);
  expect(cluster.versionAt(further)).toBe(8);
});

test('five voters with three generations of voters on their disks elect a leader with two machines gone', () => {
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    const { cluster, leader, outdated, former, further } = threeGenerations(FIVE, seed);
    const [lost = '', kept = ''] = others(FIVE, leader, outdated, former);
    const ids = [outdated, kept, former, further];
    expect(lost).not.toBe('');
    const version = restart(cluster, ids, FIVE.slice(0, 3), `a leader, seed ${seed}`);
    expect(version, `seed ${seed}`).toBe(8);
  }
});

test('two voters of which one was replaced elect a leader after a restart of all, the replaced one included', () => {
  const cluster = formedFaultCluster(TWO);
  cluster.configure(0, 7);
  const leader = cluster.leader();
  const [departing = ''] = others(TWO, leader);
  cluster.start('n:1', TWO);
  cluster.retire(departing);
  cluster.runUntil(
    () => cluster.voters().includes('n:1') && !isJointOf(cluster, TWO),
    CHANGE_LIMIT_MS,
    'it is replaced',
  );
  cluster.configure(7, 8);
  killAll(cluster);
  expect(restart(cluster, [leader, departing, 'n:1'], TWO, 'a leader')).toBe(8);
});

/** A change of voters begins, and all nodes are killed at various moments of it; the joint set is on few disks. */
function checkRestartInChange(isLagging: boolean, isGone: 'leader' | 'departing' | 'nobody'): void {
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    const cluster = formedFaultCluster(THREE, { seed });
    cluster.configure(0, 7);
    const leader = cluster.leader();
    const [departing = '', lagging = ''] = others(THREE, leader);
    cluster.start('n:1', THREE);
    cluster.run(1500);
    // What it is sent from now on it forgets with its process.
    if (isLagging) cluster.stallDisk(lagging);
    cluster.retire(departing);
    cluster.runUntil(() => isJointOf(cluster, THREE), CHANGE_LIMIT_MS, 'the change begins');
    cluster.run((seed * 15) % 200);
    killAll(cluster);
    const gone = { leader, departing, nobody: '' }[isGone];
    const back = others([...THREE, 'n:1'], gone);
    const version = restart(cluster, back, THREE, `a leader without ${gone}, seed ${seed}`);
    expect(version, `seed ${seed}`).toBe(7);
  }
}

test('a joint set that one of the remaining voters forgot decides after a restart of all without the leader', () => {
  checkRestartInChange(true, 'leader');
});

test('a joint set that is on the disk of the leader alone at first decides after a restart of all', () => {
  checkRestartInChange(true, 'nobody');
});

test('a voter that was about to leave is not needed after a restart of all in the change', () => {
  checkRestartInChange(false, 'departing');
});

test('the voters of the second set are not needed where the leader of the third is back', () => {
  const { cluster, leader, outdated, further } = threeGenerations(THREE, 3);
  expect(restart(cluster, [leader, outdated, further], THREE, 'a leader')).toBe(8);
});
