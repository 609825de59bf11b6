import { expect, test } from 'vitest';
import { renderMetrics } from '../metrics/exposition.js';
import { agentFamilies, agentState, BEHIND_GRACE_MS, type AgentMetrics } from './agent-metrics.js';

const HEALTHY: AgentMetrics = {
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

test('the state shows the most severe problem', () => {
  expect(agentState(HEALTHY)).toBe('in-touch');
  expect(agentState({ ...HEALTHY, hasSession: false, isLeaderless: true })).toBe('away');
  expect(agentState({ ...HEALTHY, isLeaderless: true, behindMs: 9000 })).toBe('leaderless');
  // An update that is on its way does not count as lag yet.
  expect(agentState({ ...HEALTHY, versionsBehind: 1, behindMs: BEHIND_GRACE_MS })).toBe('in-touch');
  expect(agentState({ ...HEALTHY, versionsBehind: 1, behindMs: 1 + BEHIND_GRACE_MS })).toBe(
    'behind',
  );
});
test('a snapshot is rendered under the names of the metrics', async () => {
  const { body } = await renderMetrics(agentFamilies(HEALTHY));
  expect(body).toContain('haretrack_agent_session 1\n');
  expect(body).toContain('haretrack_agent_session_moves_total 2\n');
  expect(body).toContain('haretrack_agent_session_heard_age_seconds 0.4\n');
  expect(body).toContain('haretrack_agent_config_count 40\n');
});
test('an agent without any reply has an infinite reply age', async () => {
  const { body } = await renderMetrics(agentFamilies({ ...HEALTHY, sessionHeardAgeMs: undefined }));
  expect(body).toContain('haretrack_agent_session_heard_age_seconds +Inf\n');
});
