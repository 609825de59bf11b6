import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import { NO_VERSION, type Version } from '../common/version.js';
import { AgentCore, type AgentEffect } from './agent-core.js';

const seeds = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'];
function acks(core: AgentCore): Version[] {
  const versions: Version[] = [];
  for (const effect of core.drain())
    if (effect.do === 'send' && (effect.message.kind === 'ack' || effect.message.kind === 'join'))
      versions.push({ epoch: effect.message.epoch, count: effect.message.count });
  return versions;
}
function reportsLostParent(effect: AgentEffect): boolean {
  return (
    effect.do === 'send' && effect.message.kind === 'join' && effect.message.lost === '10.0.1.9:1'
  );
}
test('a restarted agent acknowledges no configuration until the freshness bound of earlier proxies has passed', () => {
  // The proxy next to it may still be fresh because of a confirmation from the previous incarnation of the agent.
  const core = new AgentCore(
    { me: '10.0.1.1:1', zone: 'z', seeds, freshnessBoundMs: 2500, incarnation: 0 },
    moment(0),
  );
  core.onMessage(moment(10), core.controlNode, 'mind', {
    kind: 'update',
    topic: 'config',
    epoch: 2,
    count: 7,
    body: '{"voters":[]}',
  });
  core.tick(moment(20));
  for (const version of acks(core)) expect(version).toEqual(NO_VERSION);
  core.onMessage(moment(30), core.controlNode, 'mind', { kind: 'assignParent', parent: '' });
  core.tick(moment(2600));
  expect(acks(core)).toContainEqual({ epoch: 2, count: 7 });
});
test('a confirmation request lists all members below that the reply makes fresh', () => {
  const core = new AgentCore(
    { me: '10.0.1.1:1', zone: 'z', seeds, freshnessBoundMs: 2500, incarnation: 0 },
    moment(0),
  );
  core.onMessage(moment(10), '10.0.1.2:1', 'link', {
    kind: 'freshnessRequest',
    nonce: 3,
    have: [],
    members: ['10.0.1.2:1', '10.0.1.3:1'],
  });
  expect(core.drain()).toContainEqual({
    do: 'send',
    to: core.controlNode,
    message: {
      kind: 'freshnessRequest',
      nonce: 1,
      have: [],
      members: ['10.0.1.1:1', '10.0.1.2:1', '10.0.1.3:1'],
    },
  });
});
test('a parent without replies is abandoned within half a second and requests go to the control node', () => {
  const core = new AgentCore(
    { me: '10.0.1.1:1', zone: 'z', seeds, freshnessBoundMs: 2500, incarnation: 0 },
    moment(0),
  );
  core.onMessage(moment(0), core.controlNode, 'mind', {
    kind: 'assignParent',
    parent: '10.0.1.9:1',
  });
  core.onMessage(moment(10), 'flow@1', 'flow', {
    kind: 'freshnessRequest',
    nonce: 5,
    have: [],
    members: [],
  });
  expect(core.drain()).toContainEqual({
    do: 'send',
    to: '10.0.1.9:1',
    message: { kind: 'freshnessRequest', nonce: 1, have: [], members: ['10.0.1.1:1'] },
  });
  core.tick(moment(370));
  // The parent has not replied: the request goes to the control node, with a report of the lost parent.
  const sends = core.drain();
  expect(sends).toContainEqual({
    do: 'send',
    to: core.controlNode,
    message: { kind: 'freshnessRequest', nonce: 2, have: [], members: ['10.0.1.1:1'] },
  });
  expect(sends.some(reportsLostParent)).toBe(true);
  core.onMessage(moment(380), core.controlNode, 'mind', {
    kind: 'freshnessReply',
    nonce: 2,
    epoch: 0,
    count: 0,
    marks: 0,
  });
  expect(core.drain()).toContainEqual({
    do: 'send',
    to: 'flow@1',
    message: { kind: 'freshnessReply', nonce: 5, epoch: 0, count: 0, marks: 0 },
  });
});

/** Its control node may be partitioned from a majority that has committed a newer configuration. */
test('an agent also requests updates from the other control nodes, one after the other', () => {
  const core = new AgentCore(
    {
      me: '10.0.1.1:1',
      zone: 'z',
      seeds,
      freshnessBoundMs: 2500,
      incarnation: 0,
      isDeployed: true,
    },
    moment(0),
  );
  const requested = new Set<string>();
  for (let now = 0; now <= 1600; now += 100) {
    core.onMessage(moment(now), core.controlNode, 'mind', {
      kind: 'controlNodes',
      controlNodes: [],
      leader: core.controlNode,
      epoch: 0,
      count: 0,
    });
    core.tick(moment(now));
    for (const effect of core.drain())
      if (
        effect.do === 'send' &&
        effect.message.kind === 'freshnessRequest' &&
        effect.message.nonce < 0
      )
        requested.add(effect.to);
  }
  expect([...requested].sort()).toEqual(seeds.filter((seed) => seed !== core.controlNode));
});
/**
 * A child that got another parent does not notify the former one. Without a timeout it would get every update from each parent
 * that it ever had.
 */
test('a child that has another parent gets no more updates from the former one', () => {
  const core = new AgentCore(
    {
      me: '10.0.1.1:1',
      zone: 'z',
      seeds,
      freshnessBoundMs: 2500,
      incarnation: 0,
      isDeployed: true,
    },
    moment(0),
  );
  function request(at: number, child: string): void {
    core.onMessage(moment(at), child, 'link', {
      kind: 'freshnessRequest',
      nonce: 0,
      have: [],
      members: [],
    });
  }
  function receivers(at: number, count: number): string[] {
    core.onMessage(moment(at), core.controlNode, 'mind', {
      kind: 'update',
      topic: 'config',
      epoch: 2,
      count,
      body: '{"voters":[]}',
    });
    const to: string[] = [];
    for (const effect of core.drain())
      if (effect.do === 'send' && effect.message.kind === 'update') to.push(effect.to);
    return to;
  }
  request(0, '10.0.1.2:1');
  request(0, '10.0.1.3:1');
  expect(receivers(10, 1)).toEqual(['10.0.1.2:1', '10.0.1.3:1']);
  for (let at = 1000; at <= 5000; at += 1000) {
    request(at, '10.0.1.3:1');
    core.tick(moment(at));
  }
  core.drain();
  expect(receivers(5010, 2)).toEqual(['10.0.1.3:1']);
  // When it requests again, it gets the missing update at once.
  request(5020, '10.0.1.2:1');
  expect(core.drain()).toContainEqual({
    do: 'send',
    to: '10.0.1.2:1',
    message: { kind: 'update', topic: 'config', epoch: 2, count: 2, body: '{"voters":[]}' },
  });
});
