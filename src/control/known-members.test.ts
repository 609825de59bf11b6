import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import type { MemberVersion } from '../common/messages.js';
import { NO_VERSION } from '../common/version.js';
import { Sessions } from '../dissemination/sessions.js';
import { KnownMembers } from './known-members.js';

const FRESHNESS_BOUND_MS = 1000;
const STARTED = moment(0);
const SETTLED = moment(5000);

function memberOf(id: string): MemberVersion {
  return { id, zone: 'z', address: `${id}:1`, epoch: 0, count: 0 };
}

function idsOf(members: readonly MemberVersion[]): string[] {
  const ids: string[] = [];
  for (const { id } of members) ids.push(id);
  return ids;
}

/** Known members with a session of member `a`. */
function knownMembers(): KnownMembers {
  const sessions = new Sessions(500, FRESHNESS_BOUND_MS * 2);
  sessions.onJoin(SETTLED, 'a', 'z', 'a:1', NO_VERSION);
  return new KnownMembers(sessions, FRESHNESS_BOUND_MS, STARTED);
}
test('members are known from sessions, requests and other nodes, for twice the freshness bound', () => {
  const members = knownMembers();
  members.onRequest(SETTLED, ['a', 'b']);
  members.onMembersReported(SETTLED, 'other', [memberOf('b'), memberOf('c')]);
  expect(idsOf(members.own())).toEqual(['a', 'b']);
  expect(idsOf(members.all())).toEqual(['a', 'b', 'b', 'c']);
  expect(members.count()).toBe(3);
  members.tick(moment(SETTLED + FRESHNESS_BOUND_MS * 2 + 1));
  expect(idsOf(members.all())).toEqual(['a']);
});
test('a node that has just started assumes that there is an unknown member', () => {
  const members = knownMembers();
  expect(idsOf(members.possible(moment(FRESHNESS_BOUND_MS + 199)))).toEqual(['a', 'unknown']);
  expect(idsOf(members.possible(moment(FRESHNESS_BOUND_MS + 200)))).toEqual(['a']);
});
test('the number of members is at least 1', () => {
  expect(new KnownMembers(new Sessions(500, 2000), FRESHNESS_BOUND_MS, STARTED).count()).toBe(1);
});
test('a commit is in force once all members have acknowledged it or a later one', () => {
  const members = knownMembers();
  const version = { epoch: 2, count: 5 };
  const commit = { version, at: SETTLED, members: new Set(['a', 'b']) };
  members.onAck('a', version);
  members.onAck('b', { epoch: 2, count: 4 });
  expect(members.isInForce(SETTLED, commit)).toBe(false);
  members.onAck('b', { epoch: 3, count: 1 });
  members.onAck('b', { epoch: 2, count: 1 });
  expect(members.ackedBy(memberOf('b'))).toEqual({ epoch: 3, count: 1 });
  expect(members.isInForce(SETTLED, commit)).toBe(true);
});
test('a commit is in force once the members that have not acknowledged it are stale', () => {
  const commit = { version: { epoch: 2, count: 5 }, at: SETTLED, members: new Set(['b']) };
  expect(knownMembers().isInForce(moment(SETTLED + FRESHNESS_BOUND_MS + 199), commit)).toBe(false);
  expect(knownMembers().isInForce(moment(SETTLED + FRESHNESS_BOUND_MS + 200), commit)).toBe(true);
});
