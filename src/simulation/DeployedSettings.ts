/**
 * The spans with which a deployment's processes run their cores, as in `ControlProcess` and
 * `AgentProcess`, and the bounds of the contract that runs are judged by. All are milliseconds.
 */
export const CONTROL_BEAT_MS = 50;
export const AGENT_BEAT_MS = 100;
export const LIST_MS = 1000;
export const DISK_AGAIN_MS = 500;
export const RETIRE_MS = 1000;
export const CONTROL_SILENT_MS = 3000;
export const AGENT_BLIND_MS = 2500;
export const DEPLOYED_VOTE = {
  pingMs: 250,
  renewMs: 300,
  electionMs: 500,
  spanMs: 1500,
  deadMs: 1200,
} as const;

/** Nobody orders a runner for so long between two holders. */
export const LEASE_MS = 3000;
/** Orders so shortly after a thaw of their sender, or after a link healed, don't count. */
export const THAW_MS = 300;
/** A proper order is acknowledged within this while the core is settled. */
export const ACK_MS = 4000;
/** So long without any trouble makes the core settled. */
export const IN_TOUCH_MS = 3000;
/** A machine counts as lost for so long after it is back. */
export const CATCH_UP_MS = 4000;
/** After the last trouble a leader serves within this. */
export const RECOVER_MS = 12_000;
/** A process told to stop is killed after this. */
export const GRACE_MS = 8000;
/** How much the operators' list of nodes lags. */
export const SEED_DELAY_MS = 3000;
