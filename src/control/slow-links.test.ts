import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import { FaultCluster, type FaultClusterOptions } from './testing/fault-cluster.js';

const FIRST_LEADER_LIMIT_MS = 5000;
const SUCCESSOR_LIMIT_MS = 8000;
/** Time after the first election in which all nodes become voters and pending work completes. */
const SETTLING_MS = 10_000;
const UNDISTURBED_MS = 60_000;
const STEP_MS = 10;
const SEED_COUNT = 12;
const ALL = ['a', 'b', 'c', 'd', 'e'];
const SLOW_LINKS = { minDelayMs: 150, maxDelayMs: 400 };
const SLOW_DISKS = { minDiskMs: 50, maxDiskMs: 200 };

/** A voter with slow links, and the one-way delay of each message from or to it. */
interface DistantVoter {
  readonly id: string;
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
}

interface Deployment {
  readonly voters: number;
  readonly options: FaultClusterOptions;
  readonly distant?: DistantVoter;
}

interface Measurements {
  readonly firstLeaderMs: number;
  readonly undisturbedEpochs: number;
  /** The part of the time without faults in which the leader might not send orders. */
  readonly withoutOrdersMs: number;
  readonly successorMs: number;
}

function highestEpoch(cluster: FaultCluster): number {
  let highest = 0;
  for (const node of cluster.nodes.values()) highest = Math.max(highest, node.core.elector.epoch);
  return highest;
}

function mayOrder(cluster: FaultCluster): boolean {
  const leader = cluster.leader();
  return leader !== '' && cluster.node(leader).core.mayOrder(moment(cluster.now));
}

/** Starts a cluster, runs it for a minute without faults, and kills the leader. */
function measure(deployment: Deployment, seed: number): Measurements {
  const ids = ALL.slice(0, deployment.voters);
  const cluster = new FaultCluster({ ...deployment.options, seed });
  const { distant } = deployment;
  if (distant) cluster.setDelay(distant.id, distant.minDelayMs, distant.maxDelayMs);
  for (const id of ids) cluster.start(id, ids.slice(0, 3), true);
  const hasLeader = () => cluster.hasLeader();
  const firstLeaderMs = cluster.runUntil(hasLeader, 20_000, `a first leader, seed ${seed}`);
  cluster.run(SETTLING_MS);
  expect(cluster.voters()).toBe(ids.join(' '));
  const epochBefore = highestEpoch(cluster);
  let withoutOrdersMs = 0;
  for (let passed = 0; passed < UNDISTURBED_MS; passed += STEP_MS) {
    cluster.run(STEP_MS);
    if (!mayOrder(cluster)) withoutOrdersMs += STEP_MS;
  }
  const undisturbedEpochs = highestEpoch(cluster) - epochBefore;
  cluster.kill(cluster.leader());
  const successorMs = cluster.runUntil(hasLeader, 20_000, `a successor, seed ${seed}`);
  return { firstLeaderMs, undisturbedEpochs, withoutOrdersMs, successorMs };
}

function checkLimits(deployment: Deployment): void {
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    const { firstLeaderMs, undisturbedEpochs, withoutOrdersMs, successorMs } = measure(
      deployment,
      seed,
    );
    expect(firstLeaderMs, `seed ${seed}`).toBeLessThan(FIRST_LEADER_LIMIT_MS);
    expect(successorMs, `seed ${seed}`).toBeLessThan(SUCCESSOR_LIMIT_MS);
    expect([undisturbedEpochs, withoutOrdersMs], `seed ${seed}`).toEqual([0, 0]);
  }
}

const DISTANT_FIRST = { id: 'a', minDelayMs: 150, maxDelayMs: 400 };
const DISTANT_LAST = { id: 'c', minDelayMs: 150, maxDelayMs: 400 };
const DISTANT_FIFTH = { id: 'e', minDelayMs: 150, maxDelayMs: 400 };
/** Deployments with the delays of their links and disks, by the name of the test. */
const DEPLOYMENTS: Readonly<Record<string, Deployment>> = {
  'three voters, links of 150 to 400 ms': { voters: 3, options: SLOW_LINKS },
  'five voters, links of 150 to 400 ms': { voters: 5, options: SLOW_LINKS },
  'three voters, links of 400 ms': {
    voters: 3,
    options: { minDelayMs: 400, maxDelayMs: 400 },
  },
  'three voters, disks of 50 to 200 ms': { voters: 3, options: SLOW_DISKS },
  'five voters, disks of 50 to 200 ms': { voters: 5, options: SLOW_DISKS },
  'three voters, slow links and disks': {
    voters: 3,
    options: { ...SLOW_LINKS, ...SLOW_DISKS },
  },
  'five voters, slow links and disks': { voters: 5, options: { ...SLOW_LINKS, ...SLOW_DISKS } },
  'three voters, the first one distant': { voters: 3, options: {}, distant: DISTANT_FIRST },
  'three voters, the last one distant': { voters: 3, options: {}, distant: DISTANT_LAST },
  'five voters, the first one distant': { voters: 5, options: {}, distant: DISTANT_FIRST },
  'five voters, the fifth one distant': { voters: 5, options: {}, distant: DISTANT_FIFTH },
};
for (const [name, deployment] of Object.entries(DEPLOYMENTS))
  test(`${name}: a leader is elected, stays, and is succeeded in time`, () =>
    checkLimits(deployment));
/** A forwarded read takes a round trip to the leader, and waits for the quorum read in flight and then for its own. */
test('a read at a follower is answered over slow links', () => {
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    const cluster = new FaultCluster({ ...SLOW_LINKS, seed });
    const ids = ALL.slice(0, 3);
    for (const id of ids) cluster.start(id, ids, true);
    cluster.runUntil(() => cluster.hasLeader(), 20_000, `a first leader, seed ${seed}`);
    cluster.run(SETTLING_MS);
    for (let reads = 0; reads < 5; reads += 1)
      expect(cluster.request(cluster.follower(), 'read', {}, 4000).status, `seed ${seed}`).toBe(
        200,
      );
  }
});

function checkOrdinaryLinks(voters: number): void {
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    const { firstLeaderMs, successorMs } = measure({ voters, options: {} }, seed);
    expect(firstLeaderMs, `seed ${seed}`).toBeLessThanOrEqual(1300);
    expect(successorMs, `seed ${seed}`).toBeLessThanOrEqual(1750);
  }
}
test('three voters on ordinary links elect their leaders as fast as before slow links were supported', () =>
  checkOrdinaryLinks(3));
test('five voters on ordinary links elect their leaders as fast as before slow links were supported', () =>
  checkOrdinaryLinks(5));
