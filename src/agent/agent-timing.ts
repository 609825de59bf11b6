/** The intervals and timeouts of an agent, in milliseconds. */
export interface AgentTiming {
  /** Interval at which the session is renewed by a `join`. */
  readonly joinIntervalMs: number;
  /** A control node that has not replied for this long counts as failed. */
  readonly controlTimeoutMs: number;
  /** A parent that has not replied to a request for this long counts as failed. */
  readonly parentTimeoutMs: number;
}

/** For proxies that need a confirmation of freshness: failures must be detected well within the freshness bound. */
export const CONFIRMED_TIMING: AgentTiming = {
  joinIntervalMs: 400,
  controlTimeoutMs: 900,
  parentTimeoutMs: 350,
};

/** For a deployment, where each wake-up costs CPU time and most failures are detected by a closed connection. */
export const DEPLOYED_TIMING: AgentTiming = {
  joinIntervalMs: 1000,
  controlTimeoutMs: 2500,
  parentTimeoutMs: 1000,
};
