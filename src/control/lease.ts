/** What the lease allows whoever orders runners, right before a write and while one is under way. */

import type { Moment } from '../common/ids.js';

export interface Lease {
  mayOrder(now: Moment): boolean;
  leaseEnd(): Moment;
}

/**
 * No order is written so shortly before the lease ends, in ms, and one under way is cut off then. What is written after a
 * check that left more than this, and taken within the span that a runner is told, is taken in the lease, however long we
 * were frozen in between.
 */
export const LEASE_MARGIN_MS = 350;

/** Looked at right before the write itself. */
export function mayWrite(lease: Lease, now: Moment): boolean {
  return lease.mayOrder(now) && lease.leaseEnd() - now > LEASE_MARGIN_MS;
}

/** How long from now an order under way may go on, in ms. */
export function remainingOrderTimeMs(lease: Lease, now: Moment): number {
  return Math.max(0, lease.leaseEnd() - now - LEASE_MARGIN_MS);
}
