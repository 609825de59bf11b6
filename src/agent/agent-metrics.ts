/** Metrics of an agent: a read-only snapshot of its session, its updates and its proxies. */

import { counterFamily, gaugeFamily, type MetricFamily } from '../metrics/exposition.js';
import { secondsOf } from '../metrics/write-latency.js';

/**
 * How long an agent may lack versions before its state is `behind`. A control node may announce a version while the update
 * is still on its way.
 */
export const BEHIND_GRACE_MS = 1500;

/** A snapshot of an agent. Durations are in milliseconds. */
export interface AgentMetrics {
  /** The control node of its session, or the one that it is trying to join. */
  readonly controlNode: string;
  /** Whether a control node has replied recently. */
  readonly hasSession: boolean;
  /** Time since the last reply of a control node; undefined if there was none. */
  readonly sessionHeardAgeMs: number | undefined;
  /** How often the session moved to another control node. */
  readonly sessionMoves: number;
  /** Whether the control node that replied last knows no leader. */
  readonly isLeaderless: boolean;
  /** Whether updates come through another agent of the zone. */
  readonly isUnderAgent: boolean;
  /** Number of connected proxies that get updates from this agent. */
  readonly proxies: number;
  /** The epoch of the configuration that the agent holds. */
  readonly configEpoch: number;
  /** The version count of the configuration that the agent holds. */
  readonly configCount: number;
  /** How many versions the agent is behind the newest that a control node has announced. */
  readonly versionsBehind: number;
  /** How long it has been behind; 0 if it is not. */
  readonly behindMs: number;
}

/**
 * The state of an agent: `away` without a session, `leaderless` if its control node knows no leader, `behind` if it lacks
 * configuration versions, else `in-touch`.
 */
export type AgentState = 'in-touch' | 'behind' | 'leaderless' | 'away';

/** The state of an agent; of several problems, the one that an operator should look at first. */
export function agentState(metrics: AgentMetrics): AgentState {
  if (!metrics.hasSession) return 'away';
  if (metrics.isLeaderless) return 'leaderless';
  return metrics.behindMs > BEHIND_GRACE_MS ? 'behind' : 'in-touch';
}

const PREFIX = 'haretrack_agent_';

function gauge(name: string, help: string, value: number | boolean): MetricFamily {
  return gaugeFamily(`${PREFIX}${name}`, help, value);
}

/** All metrics of an agent, as families. */
export function agentFamilies(agent: AgentMetrics): MetricFamily[] {
  // An agent that never had a session must not look as if a control node had just replied.
  const heardAgeSeconds = secondsOf(agent.sessionHeardAgeMs ?? Infinity);
  return [
    gauge('session', 'Whether a control node has lately answered.', agent.hasSession),
    gauge(
      'session_heard_age_seconds',
      'Time since a control node answered; +Inf if none.',
      heardAgeSeconds,
    ),
    counterFamily(`${PREFIX}session_moves_total`, 'Moves of the session.', agent.sessionMoves),
    gauge('leaderless', 'Whether its control node follows nobody.', agent.isLeaderless),
    gauge('under_agent', 'Whether news comes by another agent.', agent.isUnderAgent),
    gauge('proxies', 'Proxies fed from here.', agent.proxies),
    gauge('config_epoch', 'Term of the configuration held here.', agent.configEpoch),
    gauge('config_count', 'Count of the configuration held here.', agent.configCount),
    gauge('versions_behind', 'Versions behind the control node.', agent.versionsBehind),
    gauge('behind_seconds', 'For how long it has been behind.', secondsOf(agent.behindMs)),
  ];
}
