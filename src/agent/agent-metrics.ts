/** What an agent tells about itself: a read-only look at its session, its news and those that it feeds. */

import { counterFamily, gaugeFamily, type MetricFamily } from '../metrics/exposition.js';
import { secondsOf } from '../metrics/write-latency.js';

/** For how long an agent may be behind before it is said to be: news and the word of it cross on their way. */
export const BEHIND_GRACE_MS = 1500;

/** One look at an agent. Durations are in milliseconds. */
export interface AgentMetrics {
  /** The control node of its session, or the one that it is asking for one. */
  readonly controlNode: string;
  /** Whether a control node has lately answered. */
  readonly hasSession: boolean;
  /** Time since a control node answered last; nothing if none has. */
  readonly sessionHeardAgeMs: number | undefined;
  /** How often the session moved to another control node. */
  readonly sessionMoves: number;
  /** Whether the control node that answered last follows no leader. */
  readonly isLeaderless: boolean;
  /** Whether news comes by another agent of the zone. */
  readonly isUnderAgent: boolean;
  /** Proxies that are fed from here. */
  readonly proxies: number;
  /** The term and count of the configuration held here. */
  readonly configEpoch: number;
  readonly configCount: number;
  /** How many versions this agent is behind what its control node told last. */
  readonly versionsBehind: number;
  /** For how long it has been behind. */
  readonly behindMs: number;
}

/** `away` has no session, `leaderless` one with a control node that follows nobody, `behind` lacks configurations. */
export type AgentState = 'in-touch' | 'behind' | 'leaderless' | 'away';

/** The state that an operator looks for first. */
export function agentState(metrics: AgentMetrics): AgentState {
  if (!metrics.hasSession) return 'away';
  if (metrics.isLeaderless) return 'leaderless';
  return metrics.behindMs > BEHIND_GRACE_MS ? 'behind' : 'in-touch';
}

const PREFIX = 'haretrack_agent_';

function gauge(name: string, help: string, value: number | boolean): MetricFamily {
  return gaugeFamily(`${PREFIX}${name}`, help, value);
}

/** All metrics of an agent's process. */
export function agentFamilies(agent: AgentMetrics): MetricFamily[] {
  // One that never had a session must not look as if it had heard just now.
  const heardAge = secondsOf(agent.sessionHeardAgeMs ?? Infinity);
  return [
    gauge('session', 'Whether a control node has lately answered.', agent.hasSession),
    gauge(
      'session_heard_age_seconds',
      'Time since a control node answered; +Inf if none.',
      heardAge,
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
