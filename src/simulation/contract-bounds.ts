/** The time bounds of the contract against which runs are checked, in milliseconds. */

/** Minimum time between the orders of two different holders to one runner. */
export const LEASE_MS = 3000;
/** Orders that arrive this soon after their sender was thawed, or after their link was healed, are not checked. */
export const THAW_GRACE_MS = 300;
/** A valid order is acknowledged within this time while the core is settled. */
export const ACK_BOUND_MS = 4000;
/** The core is settled after this time without a disturbance. */
export const SETTLE_MS = 3000;
/** A machine counts as lost for this long after it has returned. */
export const CATCH_UP_MS = 4000;
/** A leader serves within this time after the last fault. */
export const RECOVERY_BOUND_MS = 12_000;
/** A process that was asked to stop is killed after this time. */
export const STOP_GRACE_MS = 8000;
/** Lag of the operators' list of nodes. */
export const NODE_LIST_LAG_MS = 3000;
