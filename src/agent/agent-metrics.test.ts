import { expect, test } from 'vitest';
import { renderMetrics } from '../metrics/exposition.js';
import { agentFamilies, agentState, BEHIND_GRACE_MS, type AgentMetrics } from './agent-metrics.js';

const CALM: AgentMetrics = {
  controlNode: '10.0.0.1:7000',
  hasSession: true,
  sessionHeardAgeMs: 400,
  sessionMoves: 2,
  isLeaderless: false,
  isUnderAgent: true,
  proxies: 1,
  configEpoch: 8,
  configCount: 40,
  versionsBehind: 0,
  behindMs: 0,
};

test('the state names what to look at first', () => {
  expect(agentState(CALM)).toBe('in-touch');
  expect(agentState({ ...CALM, hasSession: false, isLeaderless: true })).toBe('away');
  expect(agentState({ ...CALM, isLeaderless: true, behindMs: 9000 })).toBe('leaderless');
  // News that is just on its way is no lag.
  expect(agentState({ ...CALM, versionsBehind: 1, behindMs: BEHIND_GRACE_MS })).toBe('in-touch');
  expect(agentState({ ...CALM, versionsBehind: 1, behindMs: 1 + BEHIND_GRACE_MS })).toBe('behind');
});
test('a look at an agent is told under its names', async () => {
  const { body } = await renderMetrics(agentFamilies(CALM));
  expect(body).toContain('haretrack_agent_session 1\n');
  expect(body).toContain('haretrack_agent_session_moves_total 2\n');
  expect(body).toContain('haretrack_agent_session_heard_age_seconds 0.4\n');
  expect(body).toContain('haretrack_agent_config_count 40\n');
});
test('an agent that heard nobody does not look as if it had', async () => {
  const { body } = await renderMetrics(agentFamilies({ ...CALM, sessionHeardAgeMs: undefined }));
  expect(body).toContain('haretrack_agent_session_heard_age_seconds +Inf\n');
});
