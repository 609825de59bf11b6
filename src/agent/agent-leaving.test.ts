import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import type { KnownVersion } from '../common/messages.js';
import { AgentCore } from './agent-core.js';

const SEEDS = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'];
const PROXY = 'flow@1';
const BELOW = '10.0.1.2:1';

function agent(): AgentCore {
  const settings = {
    me: '10.0.1.1:1',
    zone: 'z',
    seeds: SEEDS,
    freshnessBoundMs: 2500,
    incarnation: 0,
  };
  return new AgentCore({ ...settings, isDeployed: true }, moment(0));
}

function ask(core: AgentCore, at: number, from: string, have: KnownVersion[] = []): void {
  const role = from === PROXY ? 'flow' : 'link';
  core.onMessage(moment(at), from, role, { kind: 'freshnessRequest', nonce: 0, have, members: [] });
}

function tell(core: AgentCore, at: number, from: string, runners: readonly string[]): void {
  core.onMessage(moment(at), from, 'mind', { kind: 'leaving', runners: [...runners] });
}

/** Whom the agent told of which leaving runners since the last look. */
function told(core: AgentCore): string[] {
  const list: string[] = [];
  for (const effect of core.drain())
    if (effect.do === 'send' && effect.message.kind === 'leaving')
      list.push(`${effect.to}: ${effect.message.runners.join(' ')}`);
  return list;
}

/** What the agent says that it holds when it asks for news. */
function held(core: AgentCore, at: number): KnownVersion[] {
  core.tick(moment(at));
  for (const effect of core.drain())
    if (effect.do === 'send' && effect.message.kind === 'freshnessRequest')
      return effect.message.have;
  throw new Error('it asked nobody');
}
test('leaving runners are passed on once, to all below', () => {
  const core = agent();
  ask(core, 0, PROXY);
  ask(core, 0, BELOW);
  core.drain();
  tell(core, 10, SEEDS[0] ?? '', ['r1']);
  expect(told(core)).toEqual([`${PROXY}: r1`, `${BELOW}: r1`]);
  // Told again by another: nothing is new, so that it does not travel in circles.
  tell(core, 20, BELOW, ['r1']);
  expect(told(core)).toEqual([]);
  tell(core, 30, SEEDS[1] ?? '', ['r1', 'r2']);
  expect(told(core)).toEqual([`${PROXY}: r2`, `${BELOW}: r2`]);
});
test('who asks for news is told the leaving runners that it lacks', () => {
  const core = agent();
  expect(held(core, 1000)).toEqual([]);
  tell(core, 1010, SEEDS[0] ?? '', ['r1', 'r2']);
  const other = agent();
  tell(other, 10, SEEDS[0] ?? '', ['r2']);
  tell(other, 20, SEEDS[0] ?? '', ['r1']);
  core.drain();
  // One that comes later, and one that missed a part, are told; one that holds the same, in whatever order, is not.
  ask(core, 1030, PROXY);
  expect(told(core)).toEqual([`${PROXY}: r1 r2`]);
  ask(core, 1040, BELOW, held(other, 1500));
  expect(told(core)).toEqual([]);
  tell(core, 1050, SEEDS[0] ?? '', ['r3']);
  core.drain();
  ask(core, 1060, BELOW, held(other, 3000));
  expect(told(core)).toEqual([`${BELOW}: r1 r2 r3`]);
});
test('a minute after it was told last it is told no more', () => {
  const core = agent();
  tell(core, 10, SEEDS[0] ?? '', ['r1']);
  expect(held(core, 1500)).toHaveLength(1);
  core.tick(moment(60_100));
  core.drain();
  ask(core, 60_200, PROXY);
  expect(told(core)).toEqual([]);
});
