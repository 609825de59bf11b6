/** The intervals and timeouts of an agent, in milliseconds. */
export interface AgentTiming {
  /** How often the session is renewed by a `join`. */
  readonly joinIntervalMs: number;
  /** A control node that has not replied for this long has failed. */
  readonly controlTimeoutMs: number;
  /** A parent that has not replied to a request for this long has failed. */
  readonly parentTimeoutMs: number;
}

/** Where proxies work by being confirmed fresh: failures must show well within the freshness bound. */
export const CONFIRMED_TIMING: AgentTiming = {
  joinIntervalMs: 400,
  controlTimeoutMs: 900,
  parentTimeoutMs: 350,
};

/** In a deployment, where each wake-up costs and a closed connection shows most failures. */
export const DEPLOYED_TIMING: AgentTiming = {
  joinIntervalMs: 1000,
  controlTimeoutMs: 2500,
  parentTimeoutMs: 1000,
};
