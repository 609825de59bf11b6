import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import type { KnownVersion } from '../common/messages.js';
import { AgentCore } from './agent-core.js';

const SEEDS = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'];
const PROXY = 'flow@1';
const CHILD = '10.0.1.2:1';

function newAgent(): AgentCore {
  const settings = {
    me: '10.0.1.1:1',
    zone: 'z',
    seeds: SEEDS,
    freshnessBoundMs: 2500,
    incarnation: 0,
  };
  return new AgentCore({ ...settings, isDeployed: true }, moment(0));
}

function requestUpdates(
  core: AgentCore,
  at: number,
  from: string,
  have: KnownVersion[] = [],
): void {
  const role = from === PROXY ? 'flow' : 'link';
  core.onMessage(moment(at), from, role, { kind: 'freshnessRequest', nonce: 0, have, members: [] });
}

function sendDraining(core: AgentCore, at: number, from: string, runners: readonly string[]): void {
  core.onMessage(moment(at), from, 'mind', { kind: 'leaving', runners: [...runners] });
}

/** The receivers to which the agent has forwarded draining runners since the last call, each with the runners. */
function forwarded(core: AgentCore): string[] {
  const forwards: string[] = [];
  for (const effect of core.drain())
    if (effect.do === 'send' && effect.message.kind === 'leaving')
      forwards.push(`${effect.to}: ${effect.message.runners.join(' ')}`);
  return forwards;
}

/** The known versions that the agent reports in a request for updates. */
function reportedVersions(core: AgentCore, at: number): KnownVersion[] {
  core.tick(moment(at));
  for (const effect of core.drain())
    if (effect.do === 'send' && effect.message.kind === 'freshnessRequest')
      return effect.message.have;
  throw new Error('the agent sent no request');
}
test('draining runners are forwarded once, to all children and proxies', () => {
  const core = newAgent();
  requestUpdates(core, 0, PROXY);
  requestUpdates(core, 0, CHILD);
  core.drain();
  sendDraining(core, 10, SEEDS[0] ?? '', ['r1']);
  expect(forwarded(core)).toEqual([`${PROXY}: r1`, `${CHILD}: r1`]);
  // The same runner from another node is not new and is not forwarded, so messages do not circulate.
  sendDraining(core, 20, CHILD, ['r1']);
  expect(forwarded(core)).toEqual([]);
  sendDraining(core, 30, SEEDS[1] ?? '', ['r1', 'r2']);
  expect(forwarded(core)).toEqual([`${PROXY}: r2`, `${CHILD}: r2`]);
});
test('a request for updates is answered with the draining runners that its sender lacks', () => {
  const core = newAgent();
  expect(reportedVersions(core, 1000)).toEqual([]);
  sendDraining(core, 1010, SEEDS[0] ?? '', ['r1', 'r2']);
  const other = newAgent();
  sendDraining(other, 10, SEEDS[0] ?? '', ['r2']);
  sendDraining(other, 20, SEEDS[0] ?? '', ['r1']);
  core.drain();
  // A sender that connects later or lacks some of the runners gets all; one that has the same set, in any order, gets none.
  requestUpdates(core, 1030, PROXY);
  expect(forwarded(core)).toEqual([`${PROXY}: r1 r2`]);
  requestUpdates(core, 1040, CHILD, reportedVersions(other, 1500));
  expect(forwarded(core)).toEqual([]);
  sendDraining(core, 1050, SEEDS[0] ?? '', ['r3']);
  core.drain();
  requestUpdates(core, 1060, CHILD, reportedVersions(other, 3000));
  expect(forwarded(core)).toEqual([`${CHILD}: r1 r2 r3`]);
});
test('a draining runner is no longer sent a minute after it was last reported', () => {
  const core = newAgent();
  sendDraining(core, 10, SEEDS[0] ?? '', ['r1']);
  expect(reportedVersions(core, 1500)).toHaveLength(1);
  core.tick(moment(60_100));
  core.drain();
  requestUpdates(core, 60_200, PROXY);
  expect(forwarded(core)).toEqual([]);
});
