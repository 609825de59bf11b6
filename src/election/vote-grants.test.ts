import { expect, test } from 'vitest';
import { epochOf, moment, nodeId } from '../common/ids.js';
import { VoteGrants } from './vote-grants.js';
import { VOTE_DEFAULTS } from './vote-settings.js';

const [b, c] = [nodeId('b'), nodeId('c')];
/** Clocks that run exactly alike, so that spans can be told to the millisecond. */
const SETTINGS = { ...VOTE_DEFAULTS, drift: 0 };
const { leaseMs, handoverGapMs } = SETTINGS;
const NEVER_VOTED = { epoch: 0, grantEpoch: 0, grantLeader: '' };
const START = moment(100_000);
const [SIX, EIGHT] = [epochOf(6), epochOf(8)];

/** A voter that granted epoch 6 to `b` at its start, with no promise to anybody before, and promised it the span. */
function grantedToB(): VoteGrants {
  const promises = new VoteGrants(SETTINGS, START, NEVER_VOTED);
  promises.grant(START, b, SIX, promises.remainingLeaseMs(START, b));
  promises.extendLease(START, b);
  return promises;
}

test('a voter that never granted anything holds nobody up', () => {
  const promises = new VoteGrants(SETTINGS, START, NEVER_VOTED);
  expect(promises.epoch).toBe(0);
  expect(promises.leader).toBe('');
  expect(promises.remainingLeaseMs(START, b)).toBe(0);
});

test('an epoch is granted to one leader alone', () => {
  const promises = grantedToB();
  expect(promises.mayGrant(b, SIX)).toBe(true);
  expect(promises.mayGrant(c, SIX)).toBe(false);
  expect(promises.mayGrant(c, epochOf(4))).toBe(false);
  expect(promises.mayGrant(b, epochOf(4))).toBe(false);
  expect(promises.mayGrant(c, EIGHT)).toBe(true);
  expect(promises.isGrantedTo(b, SIX)).toBe(true);
  expect(promises.isGrantedTo(c, SIX)).toBe(false);
  expect(promises.isGrantedTo(b, EIGHT)).toBe(false);
});

test('another holder waits until the promise and the span in which nobody orders are over', () => {
  const promises = grantedToB();
  expect(promises.remainingLeaseMs(START, c)).toBe(leaseMs + handoverGapMs);
  expect(promises.remainingLeaseMs(moment(START + leaseMs), c)).toBe(handoverGapMs);
  expect(promises.remainingLeaseMs(moment(START + leaseMs + handoverGapMs - 1), c)).toBe(1);
  expect(promises.remainingLeaseMs(moment(START + leaseMs + handoverGapMs + 1), c)).toBe(0);
  expect(promises.remainingLeaseMs(START, b)).toBe(0);
});

test('the newest promise binds, of all holders', () => {
  const promises = grantedToB();
  promises.extendLease(moment(START + 200), b);
  expect(promises.remainingLeaseMs(moment(START + 200), c)).toBe(leaseMs + handoverGapMs);
  promises.extendLease(moment(START + 100), nodeId('d'));
  expect(promises.remainingLeaseMs(moment(START + 200), c)).toBe(leaseMs + handoverGapMs);
  expect(promises.remainingLeaseMs(moment(START + 200), b)).toBe(leaseMs + handoverGapMs - 100);
});

test('clocks that differ make each span longer', () => {
  const drift = 0.01;
  const promises = new VoteGrants({ ...SETTINGS, drift }, START, NEVER_VOTED);
  promises.extendLease(START, b);
  const expected = (leaseMs + handoverGapMs) * (1 + 3 * drift) + 2 * drift * leaseMs;
  expect(promises.remainingLeaseMs(START, c)).toBeCloseTo(expected);
});

test('a holder that hands its lease back binds others for the span in which nobody orders alone', () => {
  const promises = grantedToB();
  promises.releaseLease(moment(START + 10), b);
  expect(promises.remainingLeaseMs(moment(START + 10), c)).toBe(handoverGapMs);
  // A promise that has run out is not made longer by it.
  promises.releaseLease(moment(START + 500), b);
  expect(promises.remainingLeaseMs(moment(START + 500), c)).toBe(handoverGapMs - 490);
  promises.releaseLease(moment(START + 10), nodeId('d'));
  expect(promises.remainingLeaseMs(moment(START + 10), b)).toBe(0);
});

test('after a start everybody but a sole former holder waits as if promised at that moment', () => {
  const record = { epoch: 6, grantEpoch: 6, grantLeader: 'b' };
  const promises = new VoteGrants(SETTINGS, START, record);
  expect([promises.epoch, promises.leader]).toEqual([6, 'b']);
  expect(promises.remainingLeaseMs(START, b)).toBe(leaseMs + handoverGapMs);
  expect(promises.remainingLeaseMs(START, c)).toBe(leaseMs + handoverGapMs);
  const sole = new VoteGrants(SETTINGS, START, { ...record, isFree: true });
  expect(sole.remainingLeaseMs(START, b)).toBe(0);
  expect(sole.remainingLeaseMs(START, c)).toBe(leaseMs + handoverGapMs);
});

test('after a repair everybody waits, a former holder too', () => {
  const record = { epoch: 6, grantEpoch: 6, grantLeader: 'b', isFree: true };
  const promises = new VoteGrants(SETTINGS, START, record);
  promises.assumeUnknownLease(moment(START + 700));
  expect(promises.remainingLeaseMs(moment(START + 700), b)).toBe(leaseMs + handoverGapMs);
  expect(promises.remainingLeaseMs(moment(START + 700), c)).toBe(leaseMs + handoverGapMs);
});

test('the record says that others bind no longer once that was noted, and not before', () => {
  const record = { epoch: 6, grantEpoch: 6, grantLeader: 'b' };
  const promises = new VoteGrants(SETTINGS, START, record);
  expect(promises.record(SIX)).toEqual({ ...record, isFree: false });
  const freeAt = START + leaseMs + handoverGapMs;
  expect(promises.expireLeases(moment(freeAt - 1))).toBe(false);
  expect(promises.record(SIX).isFree).toBe(false);
  expect(promises.expireLeases(moment(freeAt))).toBe(true);
  expect(promises.expireLeases(moment(freeAt))).toBe(false);
  expect(promises.record(EIGHT)).toEqual({ ...record, epoch: 8, isFree: true });
});

test('a grant is noted as free at once where nobody else was promised anything', () => {
  const promises = grantedToB();
  expect(promises.record(SIX)).toEqual({
    epoch: 6,
    grantEpoch: 6,
    grantLeader: 'b',
    isFree: true,
  });
  const wait = promises.remainingLeaseMs(START, c);
  promises.grant(START, c, EIGHT, wait);
  expect(promises.record(EIGHT).isFree).toBe(false);
  expect(promises.expireLeases(moment(START + wait - 1))).toBe(false);
  expect(promises.expireLeases(moment(START + wait))).toBe(true);
});

test('a voter that never granted anything has nothing to note', () => {
  const promises = new VoteGrants(SETTINGS, START, NEVER_VOTED);
  expect(promises.expireLeases(moment(START + 1_000_000))).toBe(false);
});

test('the wait noted after a start allows for clocks that differ', () => {
  const drift = 0.01;
  const record = { epoch: 6, grantEpoch: 6, grantLeader: 'b' };
  const promises = new VoteGrants({ ...SETTINGS, drift }, START, record);
  const freeAt = START + (leaseMs + handoverGapMs) * (1 + 5 * drift);
  expect(promises.expireLeases(moment(freeAt - 1))).toBe(false);
  expect(promises.expireLeases(moment(freeAt + 1))).toBe(true);
});
