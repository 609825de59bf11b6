import { expect, test } from 'vitest';
import { moment, nodeId } from '../common/ids.js';
import { Quorum } from '../common/quorum.js';
import { Lease } from './lease.js';
import { VOTE_DEFAULTS } from './vote-settings.js';

const [a, b, c] = [nodeId('a'), nodeId('b'), nodeId('c')];
const QUORUM = new Quorum([a, b, c]);
const { leaseMs, renewMs } = VOTE_DEFAULTS;

/** A lease of `a`, granted at moment 10 by itself and `b`, with both free to let it order at once. */
function granted(): Lease {
  const lease = new Lease(VOTE_DEFAULTS);
  const nonce = lease.begin(moment(0));
  for (const voter of [a, b]) {
    lease.countGrant(moment(10), voter, 0, QUORUM);
    lease.countRenewal(voter, nonce, QUORUM);
  }
  return lease;
}
test('a lease ends a span after the sending of the newest renewal that a majority returned', () => {
  const lease = granted();
  expect(lease.end).toBe(leaseMs);
  const nonce = lease.renew(moment(renewMs)) ?? 0;
  expect(lease.renew(moment(renewMs + 1))).toBeUndefined();
  // However late a majority returns it: the span counts from the sending.
  lease.countRenewal(a, nonce, QUORUM);
  expect(lease.end).toBe(leaseMs);
  lease.countRenewal(c, nonce, QUORUM);
  expect(lease.end).toBe(renewMs + leaseMs);
  expect(lease.mayOrder(moment(renewMs + leaseMs - 1), QUORUM)).toBe(true);
  expect(lease.mayOrder(moment(renewMs + leaseMs), QUORUM)).toBe(false);
});
test('a renewal returned late shortens nothing, and none outlives the lead', () => {
  const lease = granted();
  const first = lease.renew(moment(renewMs)) ?? 0;
  const second = lease.renew(moment(renewMs * 2)) ?? 0;
  for (const voter of [a, b]) lease.countRenewal(voter, second, QUORUM);
  for (const voter of [a, b]) lease.countRenewal(voter, first, QUORUM);
  expect(lease.end).toBe(renewMs * 2 + leaseMs);
  lease.clear();
  for (const voter of [a, b]) lease.countRenewal(voter, second, QUORUM);
  expect(lease.mayOrder(moment(renewMs * 2), QUORUM)).toBe(false);
});
test('a holder orders once some majority of those that granted is free', () => {
  const lease = new Lease(VOTE_DEFAULTS);
  const nonce = lease.begin(moment(0));
  for (const voter of [a, b]) lease.countRenewal(voter, nonce, QUORUM);
  lease.countGrant(moment(0), a, 900, QUORUM);
  lease.countGrant(moment(0), b, 400, QUORUM);
  expect(lease.mayOrder(moment(899), QUORUM)).toBe(false);
  expect(lease.mayOrder(moment(900), QUORUM)).toBe(true);
  // The first free majority is enough, and a promise told again ends when it was first said to.
  lease.countGrant(moment(0), c, 500, QUORUM);
  lease.countGrant(moment(300), b, 900, QUORUM);
  expect(lease.mayOrder(moment(499), QUORUM)).toBe(false);
  expect(lease.mayOrder(moment(500), QUORUM)).toBe(true);
});
