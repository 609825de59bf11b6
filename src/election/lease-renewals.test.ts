import { expect, test } from 'vitest';
import { moment, nodeId, type NodeId } from '../common/ids.js';
import { Quorum } from '../common/quorum.js';
import { Lease } from './lease.js';
import { VOTE_DEFAULTS } from './vote-settings.js';

const [a, b, c] = [nodeId('a'), nodeId('b'), nodeId('c')];
const QUORUM = new Quorum([a, b, c]);
const { leaseMs, renewMs } = VOTE_DEFAULTS;

/** A lease that `a` and `b` granted at time 0, each with `waitMs` to wait for the previous leader. */
function grantedLease(waitMs: number): Lease {
  const lease = new Lease(VOTE_DEFAULTS);
  const nonce = lease.begin(moment(0));
  for (const voter of [a, b]) {
    lease.countGrant(moment(0), voter, waitMs, QUORUM);
    lease.countRenewal(voter, nonce, QUORUM);
  }
  return lease;
}

function acknowledge(lease: Lease, voters: readonly NodeId[], nonce: number): void {
  for (const voter of voters) lease.countRenewal(voter, nonce, QUORUM);
}

test('a lease that was not granted, or was cleared, ends before time 0', () => {
  const lease = new Lease(VOTE_DEFAULTS);
  expect(lease.end).toBeLessThan(0);
  const granted = grantedLease(0);
  granted.clear();
  expect(granted.end).toBeLessThan(0);
});

test('a renewal after an acknowledged one can still be acknowledged', () => {
  const lease = grantedLease(0);
  const first = lease.renew(moment(renewMs)) ?? 0;
  const second = lease.renew(moment(renewMs * 2)) ?? 0;
  acknowledge(lease, [a, b], first);
  expect(lease.end).toBe(renewMs + leaseMs);
  acknowledge(lease, [a, c], second);
  expect(lease.end).toBe(renewMs * 2 + leaseMs);
});

test('acknowledgements of different renewals do not add up to a majority', () => {
  const lease = grantedLease(0);
  const first = lease.renew(moment(renewMs)) ?? 0;
  const second = lease.renew(moment(renewMs * 2)) ?? 0;
  lease.countRenewal(a, first, QUORUM);
  lease.countRenewal(b, second, QUORUM);
  expect(lease.end).toBe(leaseMs);
});

test('a grant repeated with a shorter wait shortens the wait for the previous leader', () => {
  const lease = grantedLease(900);
  expect(lease.mayOrder(moment(600), QUORUM)).toBe(false);
  // As after the previous leader has released its lease.
  lease.countGrant(moment(100), b, 300, QUORUM);
  expect(lease.mayOrder(moment(399), QUORUM)).toBe(false);
  expect(lease.mayOrder(moment(400), QUORUM)).toBe(false);
  lease.countGrant(moment(100), a, 300, QUORUM);
  expect(lease.mayOrder(moment(399), QUORUM)).toBe(false);
  expect(lease.mayOrder(moment(400), QUORUM)).toBe(true);
});

test('the wait for the previous leader is retained over changes of voters and later epochs', () => {
  const lease = grantedLease(900);
  lease.retainHandoverWait();
  const nonce = lease.begin(moment(100));
  lease.retainHandoverWait();
  for (const voter of [a, b]) lease.countGrant(moment(100), voter, 0, QUORUM);
  acknowledge(lease, [a, b], nonce);
  expect(lease.mayOrder(moment(899), QUORUM)).toBe(false);
  expect(lease.mayOrder(moment(900), QUORUM)).toBe(true);
});
