import { expect, test } from 'vitest';
import { moment, nodeId } from '../common/ids.js';
import { Quorum } from '../common/quorum.js';
import { Lease } from './lease.js';
import { VOTE_DEFAULTS } from './vote-settings.js';

const [a, b, c] = [nodeId('a'), nodeId('b'), nodeId('c')];
const QUORUM = new Quorum([a, b, c]);
const { leaseMs, renewMs } = VOTE_DEFAULTS;

/** The lease of `a`, granted at time 10 by `a` and `b` without a wait. */
function grantedLease(): Lease {
  const lease = new Lease(VOTE_DEFAULTS);
  const nonce = lease.begin(moment(0));
  for (const voter of [a, b]) {
    lease.countGrant(moment(10), voter, 0, QUORUM);
    lease.countRenewal(voter, nonce, QUORUM);
  }
  return lease;
}
test('a lease ends leaseMs after the newest renewal acknowledged by a majority was sent', () => {
  const lease = grantedLease();
  expect(lease.end).toBe(leaseMs);
  const nonce = lease.renew(moment(renewMs)) ?? 0;
  expect(lease.renew(moment(renewMs + 1))).toBeUndefined();
  // The duration counts from when the renewal was sent, however late a majority acknowledges it.
  lease.countRenewal(a, nonce, QUORUM);
  expect(lease.end).toBe(leaseMs);
  lease.countRenewal(c, nonce, QUORUM);
  expect(lease.end).toBe(renewMs + leaseMs);
  expect(lease.mayOrder(moment(renewMs + leaseMs - 1), QUORUM)).toBe(true);
  expect(lease.mayOrder(moment(renewMs + leaseMs), QUORUM)).toBe(false);
});
test('a late acknowledgement does not shorten the lease, and none counts after the lease was cleared', () => {
  const lease = grantedLease();
  const first = lease.renew(moment(renewMs)) ?? 0;
  const second = lease.renew(moment(renewMs * 2)) ?? 0;
  for (const voter of [a, b]) lease.countRenewal(voter, second, QUORUM);
  for (const voter of [a, b]) lease.countRenewal(voter, first, QUORUM);
  expect(lease.end).toBe(renewMs * 2 + leaseMs);
  lease.clear();
  for (const voter of [a, b]) lease.countRenewal(voter, second, QUORUM);
  expect(lease.mayOrder(moment(renewMs * 2), QUORUM)).toBe(false);
});
test('orders are allowed once the waits of any majority of the granting voters are over', () => {
  const lease = new Lease(VOTE_DEFAULTS);
  const nonce = lease.begin(moment(0));
  for (const voter of [a, b]) lease.countRenewal(voter, nonce, QUORUM);
  lease.countGrant(moment(0), a, 900, QUORUM);
  lease.countGrant(moment(0), b, 400, QUORUM);
  expect(lease.mayOrder(moment(899), QUORUM)).toBe(false);
  expect(lease.mayOrder(moment(900), QUORUM)).toBe(true);
  // The first such majority is enough, and a repeated grant does not extend its wait.
  lease.countGrant(moment(0), c, 500, QUORUM);
  lease.countGrant(moment(300), b, 900, QUORUM);
  expect(lease.mayOrder(moment(499), QUORUM)).toBe(false);
  expect(lease.mayOrder(moment(500), QUORUM)).toBe(true);
});
