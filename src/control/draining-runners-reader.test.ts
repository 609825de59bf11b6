import { expect, test } from 'vitest';
import type { ListedRunner } from '../placement/fleet.js';
import { AttachedProxy } from './testing/attached-proxy.js';
import {
  foundedFaultCluster,
  type FaultCluster,
  type FaultClusterOptions,
  type ListReading,
} from './testing/fault-cluster.js';

const THREE = ['a:1', 'b:1', 'c:1'] as const;
const FIVE = [...THREE, 'd:1', 'e:1'] as const;
/** Each proxy that some control node reaches knows by then after the listing, ms. */
const KNOWN_MS = 1500;
/** For so long nobody serves in these tests, ms. */
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
const ONE_LEAVES = [runner('r1', true), runner('r2', false)];

interface Site {
  readonly cluster: FaultCluster;
  readonly proxies: readonly AttachedProxy[];
}

/** A settled cluster with a list, and a few agents with proxies in the zone of each control node. */
function settled(
  ids: readonly string[],
  perZone: number = 2,
  options: FaultClusterOptions = {},
): Site {
  const cluster = foundedFaultCluster(ids, options);
  cluster.list(READY);
  const proxies: AttachedProxy[] = [];
  for (const id of ids)
    for (let index = 0; index < perZone; index += 1)
      proxies.push(new AttachedProxy(cluster, `agent-${id}-${index}`, `zone-${id}`, ids));
  cluster.run(5000);
  for (const proxy of proxies) expect(proxy.heardAt('r1')).toBeUndefined();
  return { cluster, proxies };
}

/** How long after the listing each proxy knew of the leaving runner; nothing for one that does not. */
function delays(site: Site, listedAt: number): (number | undefined)[] {
  const list: (number | undefined)[] = [];
  for (const proxy of site.proxies) {
    const at = proxy.heardAt('r1');
    list.push(at === undefined ? undefined : at - listedAt);
  }
  return list;
}

function expectKnown(site: Site, listedAt: number): void {
  for (const delay of delays(site, listedAt)) expect(delay).toBeLessThanOrEqual(KNOWN_MS);
}

function since(at: number, reading: ListReading): boolean {
  return reading.at >= at;
}

/** The most readings by all nodes in any second from then on. */
function mostPerSecond(cluster: FaultCluster, from: number): number {
  let most = 0;
  const readings = cluster.listReadings.filter((reading) => since(from, reading));
  for (const { at } of readings) {
    let count = 0;
    for (const other of readings) if (other.at >= at && other.at < at + 1000) count += 1;
    most = Math.max(most, count);
  }
  return most;
}
test('one node that is left without a majority reads the list and tells all', () => {
  const site = settled(THREE);
  const { cluster } = site;
  cluster.kill(cluster.follower());
  cluster.run(300);
  cluster.kill(cluster.leader());
  cluster.run(10);
  cluster.list(ONE_LEAVES);
  const listedAt = cluster.now;
  cluster.run(UNSERVED_MS);
  expect(cluster.hasLeader()).toBe(false);
  expectKnown(site, listedAt);
  expect(mostPerSecond(cluster, listedAt)).toBeLessThanOrEqual(1);
});

type Loss = 'leader' | 'leader and a voter' | 'leader, and all disks stall';
/** With agents in two levels of the relay tree, at various moments between two readings of the leader. */
test.each<Loss>(['leader', 'leader and a voter', 'leader, and all disks stall'])(
  'lost: %s; all proxies know within 1.5 s of the listing',
  (loss: Loss) => {
    for (let seed = 1; seed <= 15; seed += 1) {
      const site = settled(THREE, 7, { seed, mostDelayMs: 30 });
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
      cluster.list(ONE_LEAVES);
      const listedAt = cluster.now;
      cluster.run(UNSERVED_MS);
      expectKnown(site, listedAt);
      expect(mostPerSecond(cluster, listedAt)).toBeLessThanOrEqual(THREE.length);
    }
  },
);
test('nobody serves since all disks stall: the list is read all the same', () => {
  const site = settled(THREE);
  const { cluster } = site;
  const leader = cluster.leader();
  cluster.kill(leader);
  for (const id of THREE) if (id !== leader) cluster.stallDisk(id);
  cluster.run(10);
  cluster.list(ONE_LEAVES);
  const listedAt = cluster.now;
  cluster.run(UNSERVED_MS);
  expect(cluster.hasLeader()).toBe(false);
  expectKnown(site, listedAt);
  expect(mostPerSecond(cluster, listedAt)).toBeLessThanOrEqual(2);
});

/** Whether some node has its grants, serving or not. */
function isLedIn(cluster: FaultCluster): boolean {
  for (const { core, state } of cluster.nodes.values())
    if (state === 'up' && core.elector.isLeading()) return true;
  return false;
}
/** A leader that stalls amid taking over renews its lease, but reads no list. */
test('a successor that leads and cannot serve yet is not waited for', () => {
  const site = settled(THREE);
  const { cluster } = site;
  cluster.kill(cluster.leader());
  cluster.runUntil(() => isLedIn(cluster), 5000, 'a successor has its grants');
  for (const [id, { state }] of cluster.nodes) if (state === 'up') cluster.stallDisk(id);
  cluster.list(ONE_LEAVES);
  const listedAt = cluster.now;
  cluster.run(UNSERVED_MS);
  expect(cluster.hasLeader()).toBe(false);
  expectKnown(site, listedAt);
});
/** The successor serves, but has no list to tell of, and renews its lease. */
test('a successor that the platform does not answer is not waited for', () => {
  const site = settled(THREE);
  const { cluster } = site;
  cluster.kill(cluster.leader());
  cluster.runUntil(() => isLedIn(cluster), 5000, 'a successor has its grants');
  for (const [id, { core }] of cluster.nodes)
    if (core.elector.isLeading()) cluster.cutFromPlatform(id);
  cluster.run(1000);
  cluster.list(ONE_LEAVES);
  const listedAt = cluster.now;
  cluster.run(UNSERVED_MS);
  expectKnown(site, listedAt);
});
function isFrozen(entry: readonly [string, { readonly state: string }]): boolean {
  return entry[1].state === 'frozen';
}
test('a leader that stands still is not waited for', () => {
  const site = settled(THREE);
  const { cluster } = site;
  cluster.freeze(cluster.leader());
  cluster.run(10);
  cluster.list(ONE_LEAVES);
  const listedAt = cluster.now;
  cluster.run(KNOWN_MS);
  const frozen = [...cluster.nodes].find(isFrozen)?.[0] ?? '';
  for (const proxy of site.proxies) {
    if (proxy.controlNode === frozen) continue;
    expect((proxy.heardAt('r1') ?? Infinity) - listedAt).toBeLessThanOrEqual(KNOWN_MS);
  }
});
test('in a cut each side has one reader', () => {
  const site = settled(FIVE);
  const { cluster } = site;
  const sides = [FIVE.slice(0, 2), FIVE.slice(2, 4), FIVE.slice(4)];
  for (const [place, side] of sides.entries())
    for (const id of side)
      for (const other of sides.slice(place + 1).flat()) cluster.cutBothWays(id, other);
  cluster.run(2000);
  expect(cluster.hasLeader()).toBe(false);
  cluster.list(ONE_LEAVES);
  const listedAt = cluster.now;
  cluster.run(UNSERVED_MS);
  expect(cluster.hasLeader()).toBe(false);
  expectKnown(site, listedAt);
  cluster.run(10_000);
  // Once each side has its reader, it alone goes on.
  expect(mostPerSecond(cluster, listedAt)).toBeLessThanOrEqual(FIVE.length);
  expect(mostPerSecond(cluster, listedAt + 2000)).toBe(sides.length);
});
test('all cut from one another read once a second each at most', () => {
  const site = settled(THREE);
  const { cluster } = site;
  for (const id of THREE)
    for (const other of THREE) if (id !== other) cluster.cutBothWays(id, other);
  cluster.run(10);
  cluster.list(ONE_LEAVES);
  const listedAt = cluster.now;
  cluster.run(10_000);
  expectKnown(site, listedAt);
  expect(mostPerSecond(cluster, listedAt)).toBeLessThanOrEqual(THREE.length);
});
test('where the platform answers nobody the readings become rare', () => {
  const site = settled(THREE);
  const { cluster } = site;
  cluster.stopPlatform();
  const leader = cluster.leader();
  cluster.kill(leader);
  for (const id of THREE) if (id !== leader) cluster.stallDisk(id);
  cluster.run(10);
  const from = cluster.now;
  cluster.run(20_000);
  const count = cluster.listReadings.filter((reading) => since(from, reading)).length;
  // Two nodes, each after 1, 2, 4, 4 s and so on.
  expect(count).toBeLessThanOrEqual(14);
  expect(count).toBeGreaterThanOrEqual(8);
});
test('in calm times the leader alone reads, once a second', () => {
  const { cluster } = settled(FIVE);
  const from = cluster.now;
  const leader = cluster.leader();
  cluster.run(20_000);
  const readings = cluster.listReadings.filter((reading) => since(from, reading));
  expect(readings).toHaveLength(20);
  for (const { id } of readings) expect(id).toBe(leader);
});
/** What was told while a line was down is told again once it is asked for. */
test('a proxy that was cut off hears of it once it is in touch', () => {
  const site = settled(THREE);
  const { cluster, proxies } = site;
  cluster.kill(cluster.follower());
  cluster.run(300);
  cluster.kill(cluster.leader());
  cluster.run(10);
  const [away] = proxies;
  if (!away) throw new Error('no proxy');
  cluster.cutOff(away.id);
  for (const id of THREE) cluster.cutBothWays(away.id, id);
  cluster.list(ONE_LEAVES);
  cluster.run(3000);
  expect(away.heardAt('r1')).toBeUndefined();
  cluster.heal();
  const healedAt = cluster.now;
  cluster.run(KNOWN_MS);
  expect((away.heardAt('r1') ?? Infinity) - healedAt).toBeLessThanOrEqual(KNOWN_MS);
});
/** The leader serves on, but this proxy's own control node hears nothing of it. */
test('proxies of a control node that is cut off hear of it', () => {
  const site = settled(THREE);
  const { cluster } = site;
  const cut = cluster.follower();
  for (const id of THREE) if (id !== cut) cluster.cutBothWays(id, cut);
  cluster.list(ONE_LEAVES);
  const listedAt = cluster.now;
  cluster.run(UNSERVED_MS);
  expectKnown(site, listedAt + 500);
});
test('a successor reads the list in the moment in which it begins to serve', () => {
  const { cluster } = settled(THREE);
  cluster.kill(cluster.leader());
  cluster.run(10);
  cluster.list(ONE_LEAVES);
  cluster.runUntil(() => cluster.hasLeader(), 6000, 'a successor serves');
  const leader = cluster.leader();
  const servedAt = cluster.now;
  cluster.run(100);
  expect(
    cluster.listReadings.some(
      (reading) => reading.id === leader && Math.abs(reading.at - servedAt) <= 50,
    ),
  ).toBe(true);
});

/** Who reads in a calm span, which has to be the leader alone, once a second. */
function expectLeaderReads(cluster: FaultCluster): void {
  const from = cluster.now + 1;
  cluster.run(10_000);
  const readings = cluster.listReadings.filter((reading) => since(from, reading));
  expect(readings).toHaveLength(10);
  for (const { id } of readings) expect(id).toBe(cluster.leader());
}
/** Without any agent that joins meanwhile, which had the tree drawn anew. */
test('the voters get the first word of a term at once', () => {
  const cluster = foundedFaultCluster(FIVE);
  cluster.list(READY);
  cluster.run(3000);
  cluster.kill(cluster.leader());
  cluster.runUntil(() => cluster.hasLeader(), 6000, 'a successor serves');
  cluster.run(200);
  for (const { core, state } of cluster.nodes.values())
    if (state === 'up') expect(core.relay.version('fleet').epoch).toBe(core.elector.epoch);
  expectLeaderReads(cluster);
});
/** The first word of a leader's term was lost on its way to a voter, and no other follows since nothing changes. */
test('a voter that missed the first word of a term reads no list for long', () => {
  const { cluster } = settled(FIVE);
  for (const id of FIVE) cluster.lose(id, 'update');
  cluster.kill(cluster.leader());
  cluster.runUntil(() => cluster.hasLeader(), 6000, 'a successor serves');
  cluster.run(1000);
  cluster.loseNothing();
  cluster.run(4000);
  expectLeaderReads(cluster);
});
test('a voter that was restarted reads no list while a leader does', () => {
  const { cluster } = settled(THREE);
  const id = cluster.follower();
  cluster.kill(id);
  cluster.run(700);
  cluster.start(id, THREE);
  cluster.run(5000);
  expectLeaderReads(cluster);
});
