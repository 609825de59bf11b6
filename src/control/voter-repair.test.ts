import { expect, test } from 'vitest';
import {
  FaultCluster,
  formedFaultCluster,
  type FaultClusterOptions,
} from './testing/fault-cluster.js';

/** After this time another failure may follow. */
const CATCH_UP_MS = 4000;
const SEED_COUNT = 60;
const THREE = ['a:1', 'b:1', 'c:1'];
const FIVE = ['a:1', 'b:1', 'c:1', 'd:1', 'e:1'];

interface Case {
  readonly name: string;
  readonly ids: readonly string[];
  readonly options: FaultClusterOptions;
  /** Injects a further fault right before the wiped node starts again. */
  readonly injectFault: (cluster: FaultCluster, wiped: string, seed: number) => void;
}

function others(ids: readonly string[], ...without: readonly string[]): readonly string[] {
  return ids.filter((id) => !without.includes(id));
}

function noFault(): void {
  /* no further fault */
}

/** One of the ids, a different one for successive seeds. */
function pick(ids: readonly string[], seed: number): string {
  const id = ids[seed % ids.length];
  if (id === undefined) throw new Error('no node to pick');
  return id;
}

function killOne(cluster: FaultCluster, wiped: string, seed: number): void {
  cluster.kill(pick(others(FIVE, wiped), seed));
}

function cutFromOne(cluster: FaultCluster, wiped: string, seed: number): void {
  cluster.cutOneWay(pick(others(FIVE, wiped), seed), wiped);
}

function cutToOne(cluster: FaultCluster, wiped: string, seed: number): void {
  cluster.cutOneWay(wiped, pick(others(FIVE, wiped), seed));
}

function beginReplacement(cluster: FaultCluster, wiped: string, seed: number): void {
  const replaced = pick(others(FIVE, wiped, cluster.leader()), seed);
  cluster.start('n:1', THREE);
  cluster.kill(replaced);
  cluster.run(2000 + seed * 10);
}

function killLeader(cluster: FaultCluster): void {
  cluster.kill(cluster.leader());
}

function stallOneDisk(cluster: FaultCluster, wiped: string, seed: number): void {
  cluster.stallDisk(pick(others(FIVE, wiped, cluster.leader()), seed));
}

const CASES: readonly Case[] = [
  { name: 'three voters', ids: THREE, options: {}, injectFault: noFault },
  { name: 'five voters', ids: FIVE, options: {}, injectFault: noFault },
  { name: 'five voters, one down', ids: FIVE, options: {}, injectFault: killOne },
  {
    name: 'five voters, no messages from one of them',
    ids: FIVE,
    options: {},
    injectFault: cutFromOne,
  },
  {
    name: 'five voters, no messages to one of them',
    ids: FIVE,
    options: {},
    injectFault: cutToOne,
  },
  {
    name: 'five voters, a replacement in progress',
    ids: FIVE,
    options: {},
    injectFault: beginReplacement,
  },
  { name: 'five voters, the leader lost', ids: FIVE, options: {}, injectFault: killLeader },
  { name: 'five voters, one disk stalls', ids: FIVE, options: {}, injectFault: stallOneDisk },
  {
    name: 'three voters, links of 60 to 200 ms',
    ids: THREE,
    options: { minDelayMs: 60, maxDelayMs: 200 },
    injectFault: noFault,
  },
  {
    name: 'three voters, disks of 50 to 200 ms',
    ids: THREE,
    options: { minDiskMs: 50, maxDiskMs: 200 },
    injectFault: noFault,
  },
];

function repairTimeMs(item: Case, seed: number): number {
  const cluster = formedFaultCluster(item.ids, { ...item.options, seed });
  cluster.configure(0, 7);
  const wiped = seed % 3 === 0 ? cluster.leader() : cluster.follower();
  cluster.kill(wiped);
  cluster.wipe(wiped);
  cluster.runUntil(() => cluster.hasLeader(), 8000, 'a leader serves');
  cluster.run(seed * 7);
  item.injectFault(cluster, wiped, seed);
  cluster.start(wiped, THREE);
  const counts = () => cluster.isCaughtUp(wiped);
  return cluster.runUntil(counts, 20_000, `${item.name}, seed ${seed}`);
}

function byValue(a: number, b: number): number {
  return a - b;
}

/** Median, 95th percentile and maximum, in milliseconds. */
function distributionOf(timesMs: readonly number[]): string {
  const sorted = [...timesMs].sort(byValue);
  function at(share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
  }
  return `median ${at(0.5)} ms, 95 % ${at(0.95)} ms, maximum ${at(1)} ms`;
}

function checkTimes(item: Case): void {
  const timesMs: number[] = [];
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) timesMs.push(repairTimeMs(item, seed));
  process.stdout.write(`${item.name}: ${distributionOf(timesMs)} (${SEED_COUNT} seeds)\n`);
  for (const time of timesMs) expect(time).toBeLessThanOrEqual(CATCH_UP_MS);
}

for (const item of CASES) {
  test(`a wiped voter counts again in time: ${item.name}`, () => checkTimes(item));
}
/** Its seeds are fewer than the voters: it must read the replicas of all voters that it may have formed a majority with. */
test('a wiped voter whose seeds are few of the voters reads all voters that it decided with', () => {
  const cluster = formedFaultCluster(FIVE);
  cluster.configure(0, 7);
  // Three voters store the newest configuration; one of them loses its disk.
  cluster.runUntil(() => cluster.hasLeader(), 1000, 'a leader serves');
  const leader = cluster.leader();
  const wiped = pick(others(THREE, leader), 0);
  const otherTwo = others(THREE, wiped, leader).concat(leader);
  const [third = '', fourth = ''] = others(FIVE, wiped, leader, ...otherTwo);
  const lagging = others(FIVE, leader, wiped, third);
  for (const id of lagging) cluster.cutOff(id);
  cluster.configure(7, 8);
  for (const id of [leader, wiped, third]) cluster.kill(id);
  cluster.wipe(wiped);
  cluster.heal();
  cluster.start(wiped, others(FIVE, leader, third));
  cluster.run(10_000);
  expect(
    cluster.leader(),
    `${fourth} and the voters that are up do not have the newest configuration`,
  ).toBe('');
  cluster.start(third, THREE);
  cluster.runUntil(() => cluster.hasLeader(), 10_000, 'a leader serves');
  expect(cluster.versionAt(wiped)).toBe(8);
});
