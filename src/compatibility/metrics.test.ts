import { expect, test } from 'vitest';
import { agentFamilies, type AgentMetrics } from '../agent/agent-metrics.js';
import { controlFamilies } from '../control/control-families.js';
import type { ControlMetrics } from '../control/control-metrics.js';
import { renderMetrics } from '../metrics/exposition.js';
import type { WriteFigures } from '../metrics/write-latency.js';
import { expectGoldenText } from './testing/golden.js';

/** All numbers differ, so that the test detects two metrics that are swapped. */
const CONTROL: ControlMetrics = {
  epoch: 8,
  isLeaderKnown: true,
  isLeading: false,
  isServing: true,
  mayOrder: false,
  leaseLeftMs: 1250,
  majorityContactAgeMs: 270,
  voters: { members: 4, reachable: 3, isVoter: true, isJoint: false },
  replica: 'repairing',
  corruptPartitions: 2,
  configHeld: { epoch: 16, count: 41 },
  configCommitted: { epoch: 18, count: 40 },
  edits: {
    accepted: 101,
    acknowledgedAgain: 102,
    refused: { 'base-changed': 103, invalid: 104, 'too-old': 105, other: 106 },
    unclear: { 'no-majority': 107, 'leader-lost': 108, timeout: 109, forgotten: 110 },
    unserved: 111,
    forwarded: 112,
  },
  events: {
    electionsStarted: 201,
    votesGranted: 202,
    leaderChanges: 203,
    voterChanges: 204,
    repairs: 205,
    copiesRepaired: 206,
    leaderlessListReads: 207,
  },
  sessions: { open: 301, behind: 302, versionsBehind: 303 },
};

const DISK: WriteFigures = {
  done: 401,
  failed: 402,
  slow: 403,
  totalMs: 404_500,
  underWay: 405,
  oldestMs: 406_500,
};

const AGENT: AgentMetrics = {
  controlNode: '10.0.0.1:7000',
  hasSession: true,
  sessionHeardAgeMs: 400,
  sessionMoves: 2,
  isLeaderless: false,
  isUnderAgent: true,
  proxies: 3,
  configEpoch: 8,
  configCount: 40,
  versionsBehind: 5,
  behindMs: 6500,
};

test('the metrics of a control node keep their names, types, help texts and labels', async () => {
  const { contentType, body } = await renderMetrics(controlFamilies(CONTROL, DISK));
  expect(contentType).toBe('text/plain; version=0.0.4; charset=utf-8');
  expectGoldenText('operators/control-metrics.txt', body);
});

test('the metrics of an agent keep their names, types, help texts and labels', async () => {
  const { body } = await renderMetrics(agentFamilies(AGENT));
  expectGoldenText('operators/agent-metrics.txt', body);
});
