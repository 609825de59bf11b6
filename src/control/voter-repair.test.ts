import { expect, test } from 'vitest';
import {
  FaultCluster,
  foundedFaultCluster,
  type FaultClusterOptions,
} from './testing/fault-cluster.js';

/** From then on another loss may come. */
const CATCH_UP_MS = 4000;
const SEEDS_TRIED = 60;
const THREE = ['a:1', 'b:1', 'c:1'];
const FIVE = ['a:1', 'b:1', 'c:1', 'd:1', 'e:1'];

interface Case {
  readonly name: string;
  readonly ids: readonly string[];
  readonly options: FaultClusterOptions;
  /** Brought about right before the wiped node starts again. */
  readonly trouble: (cluster: FaultCluster, wiped: string, seed: number) => void;
}

function others(ids: readonly string[], ...without: readonly string[]): readonly string[] {
  return ids.filter((id) => !without.includes(id));
}

function nothing(): void {
  /* no other trouble */
}

/** One of the others, in turn over the seeds. */
function pick(ids: readonly string[], seed: number): string {
  const id = ids[seed % ids.length];
  if (id === undefined) throw new Error('nobody to pick');
  return id;
}

function oneAway(cluster: FaultCluster, wiped: string, seed: number): void {
  cluster.kill(pick(others(FIVE, wiped), seed));
}

function oneUnheard(cluster: FaultCluster, wiped: string, seed: number): void {
  cluster.cutOneWay(pick(others(FIVE, wiped), seed), wiped);
}

function oneDeaf(cluster: FaultCluster, wiped: string, seed: number): void {
  cluster.cutOneWay(wiped, pick(others(FIVE, wiped), seed));
}

function swapUnderWay(cluster: FaultCluster, wiped: string, seed: number): void {
  const replaced = pick(others(FIVE, wiped, cluster.leader()), seed);
  cluster.start('n:1', THREE);
  cluster.kill(replaced);
  cluster.run(2000 + seed * 10);
}

function leaderLost(cluster: FaultCluster): void {
  cluster.kill(cluster.leader());
}

function diskStalls(cluster: FaultCluster, wiped: string, seed: number): void {
  cluster.stallDisk(pick(others(FIVE, wiped, cluster.leader()), seed));
}

const CASES: readonly Case[] = [
  { name: 'three voters', ids: THREE, options: {}, trouble: nothing },
  { name: 'five voters', ids: FIVE, options: {}, trouble: nothing },
  { name: 'five voters, one away', ids: FIVE, options: {}, trouble: oneAway },
  { name: 'five voters, one unheard', ids: FIVE, options: {}, trouble: oneUnheard },
  { name: 'five voters, one deaf', ids: FIVE, options: {}, trouble: oneDeaf },
  { name: 'five voters, a swap under way', ids: FIVE, options: {}, trouble: swapUnderWay },
  { name: 'five voters, the leader lost', ids: FIVE, options: {}, trouble: leaderLost },
  { name: 'five voters, one disk stalls', ids: FIVE, options: {}, trouble: diskStalls },
  {
    name: 'three voters, links of 60 to 200 ms',
    ids: THREE,
    options: { leastDelayMs: 60, mostDelayMs: 200 },
    trouble: nothing,
  },
  {
    name: 'three voters, disks of 50 to 200 ms',
    ids: THREE,
    options: { leastDiskMs: 50, mostDiskMs: 200 },
    trouble: nothing,
  },
];

function timeToCount(item: Case, seed: number): number {
  const cluster = foundedFaultCluster(item.ids, { ...item.options, seed });
  cluster.configure(0, 7);
  const wiped = seed % 3 === 0 ? cluster.leader() : cluster.follower();
  cluster.kill(wiped);
  cluster.wipe(wiped);
  cluster.runUntil(() => cluster.hasLeader(), 8000, 'the others lead');
  cluster.run(seed * 7);
  item.trouble(cluster, wiped, seed);
  cluster.start(wiped, THREE);
  const counts = () => cluster.isCounting(wiped);
  return cluster.runUntil(counts, 20_000, `${item.name}, seed ${seed}`);
}

function byValue(a: number, b: number): number {
  return a - b;
}

/** Median, 95th of 100, and most, in ms. */
function distributionOf(times: readonly number[]): string {
  const sorted = [...times].sort(byValue);
  function at(share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
  }
  return `median ${at(0.5)} ms, 95 % ${at(0.95)} ms, most ${at(1)} ms`;
}

function checkTimes(item: Case): void {
  const times: number[] = [];
  for (let seed = 1; seed <= SEEDS_TRIED; seed += 1) times.push(timeToCount(item, seed));
  process.stdout.write(`${item.name}: ${distributionOf(times)} (${SEEDS_TRIED} seeds)\n`);
  for (const time of times) expect(time).toBeLessThanOrEqual(CATCH_UP_MS);
}

for (const item of CASES) {
  test(`a wiped voter counts again in time: ${item.name}`, () => checkTimes(item));
}
/** The seeds that it is told are fewer than the voters: all with which it may have decided must be read. */
test('a wiped voter that is told few of the voters reads all it decided with', () => {
  const cluster = foundedFaultCluster(FIVE);
  cluster.configure(0, 7);
  // Three hold the newest, one of which loses its disk.
  cluster.runUntil(() => cluster.hasLeader(), 1000, 'somebody leads');
  const leader = cluster.leader();
  const wiped = pick(others(THREE, leader), 0);
  const told = others(THREE, wiped, leader).concat(leader);
  const [third = '', fourth = ''] = others(FIVE, wiped, leader, ...told);
  const behind = others(FIVE, leader, wiped, third);
  for (const id of behind) cluster.cutOff(id);
  cluster.configure(7, 8);
  for (const id of [leader, wiped, third]) cluster.kill(id);
  cluster.wipe(wiped);
  cluster.heal();
  cluster.start(wiped, others(FIVE, leader, third));
  cluster.run(10_000);
  expect(cluster.leader(), `${fourth} and those beside it cannot tell`).toBe('');
  cluster.start(third, THREE);
  cluster.runUntil(() => cluster.hasLeader(), 10_000, 'a majority leads');
  expect(cluster.versionAt(wiped)).toBe(8);
});
