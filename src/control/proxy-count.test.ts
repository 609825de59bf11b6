import { expect, test } from 'vitest';
import { moment, type Moment } from '../common/ids.js';
import type { MemberVersion } from '../common/messages.js';
import { NO_VERSION } from '../common/version.js';
import { Relay } from '../dissemination/relay.js';
import { Sessions } from '../dissemination/sessions.js';
import { PROXY_COUNT_RETENTION_MS, type Fleet } from '../placement/fleet.js';
import { KnownMembers } from './known-members.js';
import { ProxyCount } from './proxy-count.js';
import { formedCluster, SEEDS, type ControlCluster } from './testing/control-cluster.js';

const FRESHNESS_BOUND_MS = 2500;
const TAKEOVER = moment(60_000);
const AGENTS = 9;
const JOIN_INTERVAL_MS = 1000;

function memberOf(index: number): MemberVersion {
  return { id: `agent-${index}`, zone: 'z', address: `agent-${index}:1`, epoch: 0, count: 0 };
}

function fleetText(flows: number): string {
  return JSON.stringify({ flows, runners: [], waits: [] } satisfies Fleet);
}

/** The proxy count of a new leader, with its sources: the former leader's update and the known members. */
class NewLeader {
  readonly relay = new Relay();
  readonly #members = new KnownMembers(new Sessions(1500, 5000), FRESHNESS_BOUND_MS, moment(0));
  readonly count = new ProxyCount(this.#members, this.relay);

  reportMembers(now: Moment, members: number): void {
    const reported = Array.from({ length: members }, (_, index) => memberOf(index));
    this.#members.onMembersReported(now, 'other', reported);
  }
}

// Guards against FAILBACK: proxies that a new leader does not know yet send to a cold runner as well.
test("a new leader uses the former leader's number until all members had time to become known", () => {
  for (const topic of ['fleet', 'places']) {
    const successor = new NewLeader();
    successor.relay.offer(topic, { epoch: 2, count: 7 }, fleetText(AGENTS));
    successor.reportMembers(TAKEOVER, 3);
    successor.count.beginLeading(TAKEOVER);
    expect(successor.count.current(TAKEOVER)).toBe(AGENTS);
    const last = moment(TAKEOVER + PROXY_COUNT_RETENTION_MS - 1);
    expect(successor.count.current(last)).toBe(AGENTS);
    expect(successor.count.current(moment(last + 1))).toBe(3);
  }
});
test('a new member counts at once, and one that is no longer seen still counts for the retention time', () => {
  const leader = new NewLeader();
  leader.count.beginLeading(TAKEOVER);
  expect(leader.count.current(TAKEOVER)).toBe(1);
  leader.reportMembers(TAKEOVER, 5);
  expect(leader.count.current(TAKEOVER)).toBe(5);
  leader.reportMembers(moment(TAKEOVER + 100), 4);
  expect(leader.count.current(moment(TAKEOVER + 100))).toBe(5);
  expect(leader.count.current(moment(TAKEOVER + 100 + PROXY_COUNT_RETENTION_MS))).toBe(4);
});
test('a number counted in an earlier leadership does not hold in a later one', () => {
  const leader = new NewLeader();
  leader.reportMembers(moment(0), 20);
  leader.count.beginLeading(moment(0));
  expect(leader.count.current(moment(0))).toBe(20);
  leader.reportMembers(TAKEOVER, 6);
  leader.count.beginLeading(TAKEOVER);
  expect(leader.count.current(TAKEOVER)).toBe(6);
});

/** Agents that renew their sessions, a third at each control node that is up; the leader reads an empty list of runners. */
function runWithAgents(cluster: ControlCluster, millis: number): void {
  for (let passed = 0; passed < millis; passed += JOIN_INTERVAL_MS) {
    const up = SEEDS.filter((id) => cluster.node(id).isUp);
    for (let index = 0; index < AGENTS; index += 1) join(cluster, up[index % up.length], index);
    const leader = cluster.leader();
    if (leader !== '') cluster.node(leader).core.onRunnerList(cluster.now, []);
    cluster.run(JOIN_INTERVAL_MS);
  }
}

function join(cluster: ControlCluster, id: string | undefined, index: number): void {
  const address = `agent-${index}:1`;
  const message = { kind: 'join', zone: 'z', address, lost: '', ...NO_VERSION } as const;
  if (id !== undefined)
    cluster.node(id).core.onMessage(cluster.now, `agent-${index}`, message, 'z');
}

/** The proxy counts that a node has logged, in order. */
function countsOf(cluster: ControlCluster, id: string): number[] {
  const counts: number[] = [];
  for (const event of cluster.node(id).events)
    if (event.event === 'proxy count changed') counts.push(event.count);
  return counts;
}

test('the first fleet of a new leader divides limits by all proxies', () => {
  const cluster = formedCluster();
  runWithAgents(cluster, 5000);
  const former = cluster.leader();
  expect(countsOf(cluster, former).at(-1)).toBe(AGENTS);
  cluster.stop(former);
  // The new leader serves before the agents of the other follower were reported to it.
  while (cluster.leader() === '') cluster.run(10);
  const leader = cluster.leader();
  cluster.node(leader).core.onRunnerList(cluster.now, []);
  cluster.run(10);
  expect(countsOf(cluster, leader)).toEqual([AGENTS]);
  runWithAgents(cluster, PROXY_COUNT_RETENTION_MS * 2);
  expect(countsOf(cluster, leader)).toEqual([AGENTS]);
});
