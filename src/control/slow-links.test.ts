import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import { FaultCluster, type FaultClusterOptions } from './testing/fault-cluster.js';

const FIRST_LEADER_MS = 5000;
const SUCCESSOR_MS = 8000;
/** From when somebody leads until all vote and what was under way is over. */
const SETTLING_MS = 10_000;
const CALM_MS = 60_000;
const STEP_MS = 10;
const SEEDS_TRIED = 12;
const ALL = ['a', 'b', 'c', 'd', 'e'];
const SLOW_LINKS = { leastDelayMs: 150, mostDelayMs: 400 };
const SLOW_DISKS = { leastDiskMs: 50, mostDiskMs: 200 };

/** One way, in milliseconds, for each message from or to that voter. */
interface FarVoter {
  readonly id: string;
  readonly leastMs: number;
  readonly mostMs: number;
}

interface Deployment {
  readonly voters: number;
  readonly options: FaultClusterOptions;
  readonly far?: FarVoter;
}

interface Figures {
  readonly firstLeaderMs: number;
  readonly calmEpochs: number;
  /** Of the calm time, in which the leader might not give orders. */
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

/** A first start, a calm minute, and the kill of the leader. */
function play(deployment: Deployment, seed: number): Figures {
  const ids = ALL.slice(0, deployment.voters);
  const cluster = new FaultCluster({ ...deployment.options, seed });
  const { far } = deployment;
  if (far) cluster.setFar(far.id, far.leastMs, far.mostMs);
  for (const id of ids) cluster.start(id, ids.slice(0, 3), true);
  const hasLeader = () => cluster.hasLeader();
  const firstLeaderMs = cluster.runUntil(hasLeader, 20_000, `a first leader, seed ${seed}`);
  cluster.run(SETTLING_MS);
  expect(cluster.voters()).toBe(ids.join(' '));
  const before = highestEpoch(cluster);
  let withoutOrdersMs = 0;
  for (let passed = 0; passed < CALM_MS; passed += STEP_MS) {
    cluster.run(STEP_MS);
    if (!mayOrder(cluster)) withoutOrdersMs += STEP_MS;
  }
  const calmEpochs = highestEpoch(cluster) - before;
  cluster.kill(cluster.leader());
  const successorMs = cluster.runUntil(hasLeader, 20_000, `a successor, seed ${seed}`);
  return { firstLeaderMs, calmEpochs, withoutOrdersMs, successorMs };
}

function checkInTime(deployment: Deployment): void {
  for (let seed = 1; seed <= SEEDS_TRIED; seed += 1) {
    const { firstLeaderMs, calmEpochs, withoutOrdersMs, successorMs } = play(deployment, seed);
    expect(firstLeaderMs, `seed ${seed}`).toBeLessThan(FIRST_LEADER_MS);
    expect(successorMs, `seed ${seed}`).toBeLessThan(SUCCESSOR_MS);
    expect([calmEpochs, withoutOrdersMs], `seed ${seed}`).toEqual([0, 0]);
  }
}

const FAR_FIRST = { id: 'a', leastMs: 150, mostMs: 400 };
const FAR_LAST = { id: 'c', leastMs: 150, mostMs: 400 };
const FAR_FIFTH = { id: 'e', leastMs: 150, mostMs: 400 };
/** Lines of delays from one to the other voters, and their disks. */
const DEPLOYMENTS: Readonly<Record<string, Deployment>> = {
  'three voters, links of 150 to 400 ms': { voters: 3, options: SLOW_LINKS },
  'five voters, links of 150 to 400 ms': { voters: 5, options: SLOW_LINKS },
  'three voters, links of 400 ms': {
    voters: 3,
    options: { leastDelayMs: 400, mostDelayMs: 400 },
  },
  'three voters, disks of 50 to 200 ms': { voters: 3, options: SLOW_DISKS },
  'five voters, disks of 50 to 200 ms': { voters: 5, options: SLOW_DISKS },
  'three voters, slow links and disks': {
    voters: 3,
    options: { ...SLOW_LINKS, ...SLOW_DISKS },
  },
  'five voters, slow links and disks': { voters: 5, options: { ...SLOW_LINKS, ...SLOW_DISKS } },
  'three voters, the first one far': { voters: 3, options: {}, far: FAR_FIRST },
  'three voters, the last one far': { voters: 3, options: {}, far: FAR_LAST },
  'five voters, the first one far': { voters: 5, options: {}, far: FAR_FIRST },
  'five voters, the fifth one far': { voters: 5, options: {}, far: FAR_FIFTH },
};
for (const [name, deployment] of Object.entries(DEPLOYMENTS))
  test(`${name}: a leader comes about, stays and is succeeded`, () => checkInTime(deployment));
/** A read passed on takes the way to the leader and back, and waits for a quorum read that runs and for its own. */
test('a read at a follower is answered over slow links', () => {
  for (let seed = 1; seed <= SEEDS_TRIED; seed += 1) {
    const cluster = new FaultCluster({ ...SLOW_LINKS, seed });
    const ids = ALL.slice(0, 3);
    for (const id of ids) cluster.start(id, ids, true);
    cluster.runUntil(() => cluster.hasLeader(), 20_000, `a first leader, seed ${seed}`);
    cluster.run(SETTLING_MS);
    for (let reads = 0; reads < 5; reads += 1)
      expect(cluster.asked(cluster.follower(), 'read', {}, 4000).status, `seed ${seed}`).toBe(200);
  }
});

function checkOrdinary(voters: number): void {
  for (let seed = 1; seed <= SEEDS_TRIED; seed += 1) {
    const { firstLeaderMs, successorMs } = play({ voters, options: {} }, seed);
    expect(firstLeaderMs, `seed ${seed}`).toBeLessThanOrEqual(1300);
    expect(successorMs, `seed ${seed}`).toBeLessThanOrEqual(1750);
  }
}
test('three voters on ordinary links are as quick as ever', () => checkOrdinary(3));
test('five voters on ordinary links are as quick as ever', () => checkOrdinary(5));
