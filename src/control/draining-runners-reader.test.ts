import { expect, test } from 'vitest';
import type { ListedRunner } from '../placement/fleet.js';
import { AttachedProxy } from './testing/attached-proxy.js';
import {
  formedFaultCluster,
  type FaultCluster,
  type FaultClusterOptions,
  type RunnerListRead,
} from './testing/fault-cluster.js';

const THREE = ['a:1', 'b:1', 'c:1'] as const;
const FIVE = [...THREE, 'd:1', 'e:1'] as const;
/** Within this time after the listing, each proxy that some control node reaches knows of the draining runner. */
const NOTIFICATION_LIMIT_MS = 1500;
/** How long no leader serves in these tests. */
const UNSERVED_MS = 4000;

function runner(id: string, isLeaving: boolean): ListedRunner {
  return {
    id,
    address: `${id}:80`,
    zone: 'zone-a:1',
    service: 'llm',
    slots: 4,
    isLeaving,
    remainingMs: undefined,
    coldMs: 0,
    holds: [],
  };
}

const READY = [runner('r1', false), runner('r2', false)];
const ONE_DRAINING = [runner('r1', true), runner('r2', false)];

interface Site {
  readonly cluster: FaultCluster;
  readonly proxies: readonly AttachedProxy[];
}

/** A settled cluster with a list of runners, and some agents with proxies in the zone of each control node. */
function settledSite(
  ids: readonly string[],
  perZone: number = 2,
  options: FaultClusterOptions = {},
): Site {
  const cluster = formedFaultCluster(ids, options);
  cluster.setRunnerList(READY);
  const proxies: AttachedProxy[] = [];
  for (const id of ids)
    for (let index = 0; index < perZone; index += 1)
      proxies.push(new AttachedProxy(cluster, `agent-${id}-${index}`, `zone-${id}`, ids));
  cluster.run(5000);
  for (const proxy of proxies) expect(proxy.drainSeenAt('r1')).toBeUndefined();
  return { cluster, proxies };
}

/** How long after the listing each proxy learned of the draining runner; `undefined` for one that did not. */
function notificationDelaysMs(site: Site, listedAt: number): (number | undefined)[] {
  const list: (number | undefined)[] = [];
  for (const proxy of site.proxies) {
    const at = proxy.drainSeenAt('r1');
    list.push(at === undefined ? undefined : at - listedAt);
  }
  return list;
}

function expectNotified(site: Site, listedAt: number): void {
  for (const delay of notificationDelaysMs(site, listedAt))
    expect(delay).toBeLessThanOrEqual(NOTIFICATION_LIMIT_MS);
}

function isAtOrAfter(at: number, read: RunnerListRead): boolean {
  return read.at >= at;
}

/** The maximum number of reads by all nodes in any second from then on. */
function maxReadsPerSecond(cluster: FaultCluster, from: number): number {
  let max = 0;
  const reads = cluster.runnerListReads.filter((read) => isAtOrAfter(from, read));
  for (const { at } of reads) {
    let count = 0;
    for (const other of reads) if (other.at >= at && other.at < at + 1000) count += 1;
    max = Math.max(max, count);
  }
  return max;
}
test('a single node without a majority reads the list and notifies all proxies', () => {
  const site = settledSite(THREE);
  const { cluster } = site;
  cluster.kill(cluster.follower());
  cluster.run(300);
  cluster.kill(cluster.leader());
  cluster.run(10);
  cluster.setRunnerList(ONE_DRAINING);
  const listedAt = cluster.now;
  cluster.run(UNSERVED_MS);
  expect(cluster.hasLeader()).toBe(false);
  expectNotified(site, listedAt);
  expect(maxReadsPerSecond(cluster, listedAt)).toBeLessThanOrEqual(1);
});

type Loss = 'leader' | 'leader and a voter' | 'leader, and all disks stall';
/** The relay tree has two levels of agents; the loss comes at various times between two reads by the leader. */
test.each<Loss>(['leader', 'leader and a voter', 'leader, and all disks stall'])(
  'lost: %s; all proxies know within 1.5 s of the listing',
  (loss: Loss) => {
    for (let seed = 1; seed <= 15; seed += 1) {
      const site = settledSite(THREE, 7, { seed, maxDelayMs: 30 });
      const { cluster } = site;
      cluster.run(seed * 65);
      if (loss === 'leader and a voter') {
        cluster.kill(cluster.follower());
        cluster.run(300);
      }
      const leader = cluster.leader();
      cluster.kill(leader);
      if (loss === 'leader, and all disks stall')
        for (const id of THREE) if (id !== leader) cluster.stallDisk(id);
      cluster.run(5);
      cluster.setRunnerList(ONE_DRAINING);
      const listedAt = cluster.now;
      cluster.run(UNSERVED_MS);
      expectNotified(site, listedAt);
      expect(maxReadsPerSecond(cluster, listedAt)).toBeLessThanOrEqual(THREE.length);
    }
  },
);
test('the list is read while no node can serve because all disks stall', () => {
  const site = settledSite(THREE);
  const { cluster } = site;
  const leader = cluster.leader();
  cluster.kill(leader);
  for (const id of THREE) if (id !== leader) cluster.stallDisk(id);
  cluster.run(10);
  cluster.setRunnerList(ONE_DRAINING);
  const listedAt = cluster.now;
  cluster.run(UNSERVED_MS);
  expect(cluster.hasLeader()).toBe(false);
  expectNotified(site, listedAt);
  expect(maxReadsPerSecond(cluster, listedAt)).toBeLessThanOrEqual(2);
});

/** Whether some node that is up leads, serving or not. */
function hasElectedLeader(cluster: FaultCluster): boolean {
  for (const { core, state } of cluster.nodes.values())
    if (state === 'up' && core.elector.isLeading()) return true;
  return false;
}
/** A leader that stalls during its takeover renews its lease, but does not read the list. */
test('voters do not wait for a successor that leads but cannot serve yet', () => {
  const site = settledSite(THREE);
  const { cluster } = site;
  cluster.kill(cluster.leader());
  cluster.runUntil(() => hasElectedLeader(cluster), 5000, 'a successor is elected');
  for (const [id, { state }] of cluster.nodes) if (state === 'up') cluster.stallDisk(id);
  cluster.setRunnerList(ONE_DRAINING);
  const listedAt = cluster.now;
  cluster.run(UNSERVED_MS);
  expect(cluster.hasLeader()).toBe(false);
  expectNotified(site, listedAt);
});
/** The successor serves and renews its lease, but has no list to publish. */
test('voters do not wait for a successor that the platform does not answer', () => {
  const site = settledSite(THREE);
  const { cluster } = site;
  cluster.kill(cluster.leader());
  cluster.runUntil(() => hasElectedLeader(cluster), 5000, 'a successor is elected');
  for (const [id, { core }] of cluster.nodes)
    if (core.elector.isLeading()) cluster.cutFromPlatform(id);
  cluster.run(1000);
  cluster.setRunnerList(ONE_DRAINING);
  const listedAt = cluster.now;
  cluster.run(UNSERVED_MS);
  expectNotified(site, listedAt);
});
function isFrozen(entry: readonly [string, { readonly state: string }]): boolean {
  return entry[1].state === 'frozen';
}
test('voters do not wait for a frozen leader', () => {
  const site = settledSite(THREE);
  const { cluster } = site;
  cluster.freeze(cluster.leader());
  cluster.run(10);
  cluster.setRunnerList(ONE_DRAINING);
  const listedAt = cluster.now;
  cluster.run(NOTIFICATION_LIMIT_MS);
  const frozen = [...cluster.nodes].find(isFrozen)?.[0] ?? '';
  for (const proxy of site.proxies) {
    if (proxy.controlNode === frozen) continue;
    expect((proxy.drainSeenAt('r1') ?? Infinity) - listedAt).toBeLessThanOrEqual(
      NOTIFICATION_LIMIT_MS,
    );
  }
});
test('during a network partition one voter of each side reads the list', () => {
  const site = settledSite(FIVE);
  const { cluster } = site;
  const sides = [FIVE.slice(0, 2), FIVE.slice(2, 4), FIVE.slice(4)];
  for (const [index, side] of sides.entries())
    for (const id of side)
      for (const other of sides.slice(index + 1).flat()) cluster.cutBothWays(id, other);
  cluster.run(2000);
  expect(cluster.hasLeader()).toBe(false);
  cluster.setRunnerList(ONE_DRAINING);
  const listedAt = cluster.now;
  cluster.run(UNSERVED_MS);
  expect(cluster.hasLeader()).toBe(false);
  expectNotified(site, listedAt);
  cluster.run(10_000);
  // Once a voter of each side has read the list, only that voter continues to read it.
  expect(maxReadsPerSecond(cluster, listedAt)).toBeLessThanOrEqual(FIVE.length);
  expect(maxReadsPerSecond(cluster, listedAt + 2000)).toBe(sides.length);
});
test('voters that are all isolated read at most once a second each', () => {
  const site = settledSite(THREE);
  const { cluster } = site;
  for (const id of THREE)
    for (const other of THREE) if (id !== other) cluster.cutBothWays(id, other);
  cluster.run(10);
  cluster.setRunnerList(ONE_DRAINING);
  const listedAt = cluster.now;
  cluster.run(10_000);
  expectNotified(site, listedAt);
  expect(maxReadsPerSecond(cluster, listedAt)).toBeLessThanOrEqual(THREE.length);
});
test('reads back off while the platform answers no node', () => {
  const site = settledSite(THREE);
  const { cluster } = site;
  cluster.stopPlatform();
  const leader = cluster.leader();
  cluster.kill(leader);
  for (const id of THREE) if (id !== leader) cluster.stallDisk(id);
  cluster.run(10);
  const from = cluster.now;
  cluster.run(20_000);
  const count = cluster.runnerListReads.filter((read) => isAtOrAfter(from, read)).length;
  // Two nodes, each of which waits 1, 2, 4, 4 s and so on between its reads.
  expect(count).toBeLessThanOrEqual(14);
  expect(count).toBeGreaterThanOrEqual(8);
});
test('without faults only the leader reads, once a second', () => {
  const { cluster } = settledSite(FIVE);
  const from = cluster.now;
  const leader = cluster.leader();
  cluster.run(20_000);
  const reads = cluster.runnerListReads.filter((read) => isAtOrAfter(from, read));
  expect(reads).toHaveLength(20);
  for (const { id } of reads) expect(id).toBe(leader);
});
/** A notification sent while the link was down is sent again on request. */
test('a proxy that was isolated learns of the draining runner once it is reachable again', () => {
  const site = settledSite(THREE);
  const { cluster, proxies } = site;
  cluster.kill(cluster.follower());
  cluster.run(300);
  cluster.kill(cluster.leader());
  cluster.run(10);
  const [isolated] = proxies;
  if (!isolated) throw new Error('no proxy');
  cluster.cutOff(isolated.id);
  for (const id of THREE) cluster.cutBothWays(isolated.id, id);
  cluster.setRunnerList(ONE_DRAINING);
  cluster.run(3000);
  expect(isolated.drainSeenAt('r1')).toBeUndefined();
  cluster.heal();
  const healedAt = cluster.now;
  cluster.run(NOTIFICATION_LIMIT_MS);
  expect((isolated.drainSeenAt('r1') ?? Infinity) - healedAt).toBeLessThanOrEqual(
    NOTIFICATION_LIMIT_MS,
  );
});
/** The leader continues to serve, but the control node of these proxies receives nothing from it. */
test('proxies of an isolated control node learn of the draining runner', () => {
  const site = settledSite(THREE);
  const { cluster } = site;
  const cut = cluster.follower();
  for (const id of THREE) if (id !== cut) cluster.cutBothWays(id, cut);
  cluster.setRunnerList(ONE_DRAINING);
  const listedAt = cluster.now;
  cluster.run(UNSERVED_MS);
  expectNotified(site, listedAt + 500);
});
test('a successor reads the list as soon as it begins to serve', () => {
  const { cluster } = settledSite(THREE);
  cluster.kill(cluster.leader());
  cluster.run(10);
  cluster.setRunnerList(ONE_DRAINING);
  cluster.runUntil(() => cluster.hasLeader(), 6000, 'a successor serves');
  const leader = cluster.leader();
  const servedAt = cluster.now;
  cluster.run(100);
  expect(
    cluster.runnerListReads.some(
      (read) => read.id === leader && Math.abs(read.at - servedAt) <= 50,
    ),
  ).toBe(true);
});

/** Checks that without faults only the leader reads, once a second. */
function expectOnlyLeaderReads(cluster: FaultCluster): void {
  const from = cluster.now + 1;
  cluster.run(10_000);
  const reads = cluster.runnerListReads.filter((read) => isAtOrAfter(from, read));
  expect(reads).toHaveLength(10);
  for (const { id } of reads) expect(id).toBe(cluster.leader());
}
/** No agent joins in the meantime: a join would recompute the relay tree. */
test('the voters get the first update of an epoch at once', () => {
  const cluster = formedFaultCluster(FIVE);
  cluster.setRunnerList(READY);
  cluster.run(3000);
  cluster.kill(cluster.leader());
  cluster.runUntil(() => cluster.hasLeader(), 6000, 'a successor serves');
  cluster.run(200);
  for (const { core, state } of cluster.nodes.values())
    if (state === 'up') expect(core.relay.version('fleet').epoch).toBe(core.elector.epoch);
  expectOnlyLeaderReads(cluster);
});
/** The first update of a leader's epoch is lost on its way to a voter, and no other follows since nothing changes. */
test('a voter that missed the first update of an epoch soon stops reading the list', () => {
  const { cluster } = settledSite(FIVE);
  for (const id of FIVE) cluster.dropMessages(id, 'update');
  cluster.kill(cluster.leader());
  cluster.runUntil(() => cluster.hasLeader(), 6000, 'a successor serves');
  cluster.run(1000);
  cluster.stopDroppingMessages();
  cluster.run(4000);
  expectOnlyLeaderReads(cluster);
});
test('a restarted voter does not read the list while a leader does', () => {
  const { cluster } = settledSite(THREE);
  const id = cluster.follower();
  cluster.kill(id);
  cluster.run(700);
  cluster.start(id, THREE);
  cluster.run(5000);
  expectOnlyLeaderReads(cluster);
});
