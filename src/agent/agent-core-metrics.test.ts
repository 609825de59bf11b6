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

  /** The control node of its session answers, and tells whom it follows and what it holds. */
  answered(at: number, leader: string, count: number): void {
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

  updated(at: number, count: number): void {
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

test('a session shows from the first answer until the silence', () => {
  const agent = new Agent();
  expect(agent.state(0)).toBe('away');
  expect(agent.core.metrics(moment(0)).sessionHeardAgeMs).toBeUndefined();
  agent.updated(90, 1);
  agent.answered(100, SEEDS[0] ?? '', 1);
  expect(agent.state(200)).toBe('in-touch');
  expect(agent.core.metrics(moment(300)).sessionHeardAgeMs).toBe(200);
  // Silence ends the session and moves it; the next control node has not answered yet.
  agent.core.tick(moment(2700));
  expect(agent.core.metrics(moment(2700))).toMatchObject({ hasSession: false, sessionMoves: 1 });
  expect(agent.state(2700)).toBe('away');
  agent.answered(2800, SEEDS[0] ?? '', 1);
  expect(agent.state(2800)).toBe('in-touch');
  // A closed connection moves it at once, and it is in touch for as long as that may take.
  agent.core.onDisconnect(moment(2900), agent.core.controlNode);
  expect(agent.core.metrics(moment(2900))).toMatchObject({ hasSession: true, sessionMoves: 2 });
});
test('a control node that follows nobody shows', () => {
  const agent = new Agent();
  agent.answered(100, '', 0);
  expect(agent.state(100)).toBe('leaderless');
  // Told twice, it turns to another, of which it knows nothing better yet.
  agent.answered(600, '', 0);
  expect(agent.core.metrics(moment(600))).toMatchObject({ isLeaderless: true, sessionMoves: 1 });
  agent.answered(1100, SEEDS[0] ?? '', 0);
  expect(agent.state(1100)).toBe('in-touch');
});
test('versions behind show until they have come', () => {
  const agent = new Agent();
  agent.updated(50, 4);
  agent.answered(100, SEEDS[0] ?? '', 4);
  agent.answered(1100, SEEDS[0] ?? '', 7);
  expect(agent.core.metrics(moment(1200))).toMatchObject({
    configCount: 4,
    versionsBehind: 3,
    behindMs: 100,
  });
  expect(agent.state(1200)).toBe('in-touch');
  // Told again, it is behind since it was first told.
  agent.answered(2100, SEEDS[0] ?? '', 9);
  expect(agent.core.metrics(moment(2700))).toMatchObject({ versionsBehind: 5, behindMs: 1600 });
  expect(agent.state(2700)).toBe('behind');
  agent.updated(2800, 9);
  expect(agent.core.metrics(moment(2800))).toMatchObject({ versionsBehind: 0, behindMs: 0 });
  expect(agent.state(2800)).toBe('in-touch');
  // Behind anew, it counts from then.
  agent.answered(3100, SEEDS[0] ?? '', 10);
  expect(agent.core.metrics(moment(3200)).behindMs).toBe(100);
});
test('proxies show while they are there', () => {
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
