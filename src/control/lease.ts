/** Checks of the lease by the sender of orders: right before an order is written, and while it is in flight. */

import type { Moment } from '../common/ids.js';

/** The lease of the leader, without which no orders may be sent to runners. */
export interface Lease {
  /**
   * Whether the node holds the lease at this moment as a leader that has taken over the complete state
   * (`Leadership.isServing`) and is not in a planned stop.
   */
  mayOrder(now: Moment): boolean;
  /** When the lease ends unless it is renewed; no order may be sent after that. */
  leaseEnd(): Moment;
}

/**
 * No order is written within this time, in milliseconds, before the lease ends, and one in flight is canceled when this
 * time begins. It is longer than a runner may take to accept an order of `OrderSender` (`ACCEPT_WITHIN_MS`), counted
 * from the runner's `100 Continue`, which precedes the check of the lease. So such an order is accepted only within the
 * lease, even if this process was suspended between the check and the write.
 */
export const LEASE_MARGIN_MS = 350;

/** Whether an order may be written now; to be called right before the write itself. */
export function mayWrite(lease: Lease, now: Moment): boolean {
  return lease.mayOrder(now) && lease.leaseEnd() - now > LEASE_MARGIN_MS;
}

/** For how long from now, in milliseconds, an order may stay in flight. */
export function remainingOrderTimeMs(lease: Lease, now: Moment): number {
  return Math.max(0, lease.leaseEnd() - now - LEASE_MARGIN_MS);
}
