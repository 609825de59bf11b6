import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import type { MemberVersion } from '../common/messages.js';
import { NO_VERSION } from '../common/version.js';
import { Sessions } from '../dissemination/sessions.js';
import { KnownMembers } from './known-members.js';

const BLIND_MS = 1000;
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

/** With a session of member `a`. */
function known(): KnownMembers {
  const sessions = new Sessions(500, BLIND_MS * 2);
  sessions.onJoin(SETTLED, 'a', 'z', 'a:1', NO_VERSION);
  return new KnownMembers(sessions, BLIND_MS, STARTED);
}
test('members are known by session, by asking and from others, for twice the blind span', () => {
  const members = known();
  members.onRequest(SETTLED, ['a', 'b']);
  members.onMembersReported(SETTLED, 'other', [memberOf('b'), memberOf('c')]);
  expect(idsOf(members.own())).toEqual(['a', 'b']);
  expect(idsOf(members.all())).toEqual(['a', 'b', 'b', 'c']);
  expect(members.count()).toBe(3);
  members.tick(moment(SETTLED + BLIND_MS * 2 + 1));
  expect(idsOf(members.all())).toEqual(['a']);
});
test('a node that has just started may have forgotten some', () => {
  const members = known();
  expect(idsOf(members.possible(moment(BLIND_MS + 199)))).toEqual(['a', 'unknown']);
  expect(idsOf(members.possible(moment(BLIND_MS + 200)))).toEqual(['a']);
});
test('at least one member is counted', () => {
  expect(new KnownMembers(new Sessions(500, 2000), BLIND_MS, STARTED).count()).toBe(1);
});
test('a commit is in force once all acknowledged it or a later one', () => {
  const members = known();
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
test('a commit is in force once whoever has not acknowledged it is blind', () => {
  const commit = { version: { epoch: 2, count: 5 }, at: SETTLED, members: new Set(['b']) };
  expect(known().isInForce(moment(SETTLED + BLIND_MS + 199), commit)).toBe(false);
  expect(known().isInForce(moment(SETTLED + BLIND_MS + 200), commit)).toBe(true);
});
