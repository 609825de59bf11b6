import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import { AgentCore } from './agent-core.js';
import { agentState } from './agent-metrics.js';

const SEEDS = ['10.0.0.1:1', '10.0.0.2:1'];

class Agent {
  readonly core = new AgentCore(
    {
      me: '10.0.1.1:1',
      zone: 'z',
      seeds: SEEDS,
      freshnessBoundMs: 2500,
      incarnation: 0,
      isDeployed: true,
    },
    moment(0),
  );

  /** The control node of the session replies, with its leader and the count of its configuration. */
  onReply(at: number, leader: string, count: number): void {
    const { controlNode } = this.core;
    this.core.onMessage(moment(at), controlNode, 'mind', { kind: 'assignParent', parent: '' });
    this.core.onMessage(moment(at), controlNode, 'mind', {
      kind: 'controlNodes',
      controlNodes: [],
      leader,
      epoch: 2,
      count,
    });
  }

  /** The control node of the session sends a configuration. */
  onUpdate(at: number, count: number): void {
    this.core.onMessage(moment(at), this.core.controlNode, 'mind', {
      kind: 'update',
      topic: 'config',
      epoch: 2,
      count,
      body: '{"voters":[]}',
    });
  }

  state(at: number): string {
    return agentState(this.core.metrics(moment(at)));
  }
}

test('the metrics show a session from the first reply until the timeout', () => {
  const agent = new Agent();
  expect(agent.state(0)).toBe('away');
  expect(agent.core.metrics(moment(0)).sessionHeardAgeMs).toBeUndefined();
  agent.onUpdate(90, 1);
  agent.onReply(100, SEEDS[0] ?? '', 1);
  expect(agent.state(200)).toBe('in-touch');
  expect(agent.core.metrics(moment(300)).sessionHeardAgeMs).toBe(200);
  // The timeout moves the session; the next control node has not replied yet.
  agent.core.tick(moment(2700));
  expect(agent.core.metrics(moment(2700))).toMatchObject({ hasSession: false, sessionMoves: 1 });
  expect(agent.state(2700)).toBe('away');
  agent.onReply(2800, SEEDS[0] ?? '', 1);
  expect(agent.state(2800)).toBe('in-touch');
  // A closed connection moves the session at once, and the session stays open until the timeout.
  agent.core.onDisconnect(moment(2900), agent.core.controlNode);
  expect(agent.core.metrics(moment(2900))).toMatchObject({ hasSession: true, sessionMoves: 2 });
});
test('the state shows a control node without a leader', () => {
  const agent = new Agent();
  agent.onReply(100, '', 0);
  expect(agent.state(100)).toBe('leaderless');
  // After the second reply without a leader the session moves; the next control node has not reported a leader yet.
  agent.onReply(600, '', 0);
  expect(agent.core.metrics(moment(600))).toMatchObject({ isLeaderless: true, sessionMoves: 1 });
  agent.onReply(1100, SEEDS[0] ?? '', 0);
  expect(agent.state(1100)).toBe('in-touch');
});
test('the metrics show how far the configuration is behind until it has arrived', () => {
  const agent = new Agent();
  agent.onUpdate(50, 4);
  agent.onReply(100, SEEDS[0] ?? '', 4);
  agent.onReply(1100, SEEDS[0] ?? '', 7);
  expect(agent.core.metrics(moment(1200))).toMatchObject({
    configCount: 4,
    versionsBehind: 3,
    behindMs: 100,
  });
  expect(agent.state(1200)).toBe('in-touch');
  // A further announcement does not change the time since which the agent is behind.
  agent.onReply(2100, SEEDS[0] ?? '', 9);
  expect(agent.core.metrics(moment(2700))).toMatchObject({ versionsBehind: 5, behindMs: 1600 });
  expect(agent.state(2700)).toBe('behind');
  agent.onUpdate(2800, 9);
  expect(agent.core.metrics(moment(2800))).toMatchObject({ versionsBehind: 0, behindMs: 0 });
  expect(agent.state(2800)).toBe('in-touch');
  // The next time that it is behind, the duration starts from there.
  agent.onReply(3100, SEEDS[0] ?? '', 10);
  expect(agent.core.metrics(moment(3200)).behindMs).toBe(100);
});
test('proxies are counted while they are connected', () => {
  const agent = new Agent();
  expect(agent.core.metrics(moment(0)).proxies).toBe(0);
  agent.core.onMessage(moment(10), 'flow@1', 'flow', {
    kind: 'freshnessRequest',
    nonce: 5,
    have: [],
    members: [],
  });
  expect(agent.core.metrics(moment(20)).proxies).toBe(1);
  agent.core.onDisconnect(moment(30), 'flow@1');
  expect(agent.core.metrics(moment(40)).proxies).toBe(0);
});
