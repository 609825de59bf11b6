/** The bounds of the contract that runs are judged by, in milliseconds. */

/** Nobody orders a runner for so long between two holders. */
export const LEASE_MS = 3000;
/** Orders so shortly after a thaw of their sender, or after a link healed, don't count. */
export const THAW_GRACE_MS = 300;
/** A proper order is acknowledged within this while the core is settled. */
export const ACK_BOUND_MS = 4000;
/** So long without any trouble makes the core settled. */
export const SETTLE_MS = 3000;
/** A machine counts as lost for so long after it is back. */
export const CATCH_UP_MS = 4000;
/** After the last trouble a leader serves within this. */
export const RECOVERY_BOUND_MS = 12_000;
/** A process told to stop is killed after this. */
export const STOP_GRACE_MS = 8000;
/** How much the operators' list of nodes lags. */
export const NODE_LIST_LAG_MS = 3000;
