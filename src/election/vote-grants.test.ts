import { expect, test } from 'vitest';
import { epochOf, moment, nodeId } from '../common/ids.js';
import { VoteGrants } from './vote-grants.js';
import { VOTE_DEFAULTS } from './vote-settings.js';

const [b, c] = [nodeId('b'), nodeId('c')];
/** Clocks without drift, so that periods are exact to the millisecond. */
const SETTINGS = { ...VOTE_DEFAULTS, drift: 0 };
const { leaseMs, handoverGapMs } = SETTINGS;
const NEVER_VOTED = { epoch: 0, grantEpoch: 0, grantLeader: '' };
const START = moment(100_000);
const [EPOCH_6, EPOCH_8] = [epochOf(6), epochOf(8)];

/** The grants of a voter that granted epoch 6 and a lease to `b` at `START`, and nothing before. */
function grantedToB(): VoteGrants {
  const grants = new VoteGrants(SETTINGS, START, NEVER_VOTED);
  grants.grant(START, b, EPOCH_6, grants.remainingLeaseMs(START, b));
  grants.extendLease(START, b);
  return grants;
}

test('a voter that never granted anything makes no leader wait', () => {
  const grants = new VoteGrants(SETTINGS, START, NEVER_VOTED);
  expect(grants.epoch).toBe(0);
  expect(grants.leader).toBe('');
  expect(grants.remainingLeaseMs(START, b)).toBe(0);
});

test('an epoch is granted to only one leader', () => {
  const grants = grantedToB();
  expect(grants.mayGrant(b, EPOCH_6)).toBe(true);
  expect(grants.mayGrant(c, EPOCH_6)).toBe(false);
  expect(grants.mayGrant(c, epochOf(4))).toBe(false);
  expect(grants.mayGrant(b, epochOf(4))).toBe(false);
  expect(grants.mayGrant(c, EPOCH_8)).toBe(true);
  expect(grants.isGrantedTo(b, EPOCH_6)).toBe(true);
  expect(grants.isGrantedTo(c, EPOCH_6)).toBe(false);
  expect(grants.isGrantedTo(b, EPOCH_8)).toBe(false);
});

test('another leader waits for the lease and the handover gap', () => {
  const grants = grantedToB();
  expect(grants.remainingLeaseMs(START, c)).toBe(leaseMs + handoverGapMs);
  expect(grants.remainingLeaseMs(moment(START + leaseMs), c)).toBe(handoverGapMs);
  expect(grants.remainingLeaseMs(moment(START + leaseMs + handoverGapMs - 1), c)).toBe(1);
  expect(grants.remainingLeaseMs(moment(START + leaseMs + handoverGapMs + 1), c)).toBe(0);
  expect(grants.remainingLeaseMs(START, b)).toBe(0);
});

test('the lease that ends last binds, whichever other leader holds it', () => {
  const grants = grantedToB();
  grants.extendLease(moment(START + 200), b);
  expect(grants.remainingLeaseMs(moment(START + 200), c)).toBe(leaseMs + handoverGapMs);
  grants.extendLease(moment(START + 100), nodeId('d'));
  expect(grants.remainingLeaseMs(moment(START + 200), c)).toBe(leaseMs + handoverGapMs);
  expect(grants.remainingLeaseMs(moment(START + 200), b)).toBe(leaseMs + handoverGapMs - 100);
});

test('clock drift prolongs each period', () => {
  const drift = 0.01;
  const grants = new VoteGrants({ ...SETTINGS, drift }, START, NEVER_VOTED);
  grants.extendLease(START, b);
  const expected = (leaseMs + handoverGapMs) * (1 + 3 * drift) + 2 * drift * leaseMs;
  expect(grants.remainingLeaseMs(START, c)).toBeCloseTo(expected);
});

test('a released lease delays other leaders only by the handover gap', () => {
  const grants = grantedToB();
  grants.releaseLease(moment(START + 10), b);
  expect(grants.remainingLeaseMs(moment(START + 10), c)).toBe(handoverGapMs);
  // Releasing does not prolong a lease that has already ended.
  grants.releaseLease(moment(START + 500), b);
  expect(grants.remainingLeaseMs(moment(START + 500), c)).toBe(handoverGapMs - 490);
  grants.releaseLease(moment(START + 10), nodeId('d'));
  expect(grants.remainingLeaseMs(moment(START + 10), b)).toBe(0);
});

test('after a restart every leader but a sole former one waits as if a lease was granted just then', () => {
  const record = { epoch: 6, grantEpoch: 6, grantLeader: 'b' };
  const grants = new VoteGrants(SETTINGS, START, record);
  expect([grants.epoch, grants.leader]).toEqual([6, 'b']);
  expect(grants.remainingLeaseMs(START, b)).toBe(leaseMs + handoverGapMs);
  expect(grants.remainingLeaseMs(START, c)).toBe(leaseMs + handoverGapMs);
  const sole = new VoteGrants(SETTINGS, START, { ...record, isFree: true });
  expect(sole.remainingLeaseMs(START, b)).toBe(0);
  expect(sole.remainingLeaseMs(START, c)).toBe(leaseMs + handoverGapMs);
});

test('after a repair every leader waits, including the former one', () => {
  const record = { epoch: 6, grantEpoch: 6, grantLeader: 'b', isFree: true };
  const grants = new VoteGrants(SETTINGS, START, record);
  grants.assumeUnknownLease(moment(START + 700));
  expect(grants.remainingLeaseMs(moment(START + 700), b)).toBe(leaseMs + handoverGapMs);
  expect(grants.remainingLeaseMs(moment(START + 700), c)).toBe(leaseMs + handoverGapMs);
});

test('the record is free once the expiry of other leases was noted, not before', () => {
  const record = { epoch: 6, grantEpoch: 6, grantLeader: 'b' };
  const grants = new VoteGrants(SETTINGS, START, record);
  expect(grants.record(EPOCH_6)).toEqual({ ...record, isFree: false });
  const freeAt = START + leaseMs + handoverGapMs;
  expect(grants.expireLeases(moment(freeAt - 1))).toBe(false);
  expect(grants.record(EPOCH_6).isFree).toBe(false);
  expect(grants.expireLeases(moment(freeAt))).toBe(true);
  expect(grants.expireLeases(moment(freeAt))).toBe(false);
  expect(grants.record(EPOCH_8)).toEqual({ ...record, epoch: 8, isFree: true });
});

test('a grant is free immediately if no other leader holds a lease', () => {
  const grants = grantedToB();
  expect(grants.record(EPOCH_6)).toEqual({
    epoch: 6,
    grantEpoch: 6,
    grantLeader: 'b',
    isFree: true,
  });
  const waitMs = grants.remainingLeaseMs(START, c);
  grants.grant(START, c, EPOCH_8, waitMs);
  expect(grants.record(EPOCH_8).isFree).toBe(false);
  expect(grants.expireLeases(moment(START + waitMs - 1))).toBe(false);
  expect(grants.expireLeases(moment(START + waitMs))).toBe(true);
});

test('a voter that never granted anything has no leases to expire', () => {
  const grants = new VoteGrants(SETTINGS, START, NEVER_VOTED);
  expect(grants.expireLeases(moment(START + 1_000_000))).toBe(false);
});

test('the wait after a restart allows for clock drift', () => {
  const drift = 0.01;
  const record = { epoch: 6, grantEpoch: 6, grantLeader: 'b' };
  const grants = new VoteGrants({ ...SETTINGS, drift }, START, record);
  const freeAt = START + (leaseMs + handoverGapMs) * (1 + 5 * drift);
  expect(grants.expireLeases(moment(freeAt - 1))).toBe(false);
  expect(grants.expireLeases(moment(freeAt + 1))).toBe(true);
});

// Guards against ONE (review/7): a repaired voter that restarted before its next grant forgot that a lease may bind it.
test('a repaired voter that restarts before it grants an epoch still assumes that a lease binds it', () => {
  const repaired = new VoteGrants(SETTINGS, START, NEVER_VOTED);
  repaired.assumeUnknownLease(START);
  const restarted = new VoteGrants(SETTINGS, moment(START + 10), repaired.record(EPOCH_6));
  for (const leader of [b, c])
    expect(restarted.remainingLeaseMs(moment(START + 10), leader)).toBe(leaseMs + handoverGapMs);
  const again = new VoteGrants(SETTINGS, moment(START + 20), restarted.record(EPOCH_6));
  expect(again.remainingLeaseMs(moment(START + 20), b)).toBe(leaseMs + handoverGapMs);
});

test('once a repaired voter has granted an epoch, its record says no more than that of others', () => {
  const repaired = new VoteGrants(SETTINGS, START, NEVER_VOTED);
  repaired.assumeUnknownLease(START);
  repaired.grant(START, b, EPOCH_8, repaired.remainingLeaseMs(START, b));
  const record = repaired.record(EPOCH_8);
  expect(record).toEqual({ epoch: 8, grantEpoch: 8, grantLeader: 'b', isFree: false });
  const restarted = new VoteGrants(SETTINGS, moment(START + 10), record);
  for (const leader of [b, c])
    expect(restarted.remainingLeaseMs(moment(START + 10), leader)).toBe(leaseMs + handoverGapMs);
});
