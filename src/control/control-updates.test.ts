import { expect, test, vi } from 'vitest';
import { moment } from '../common/ids.js';
import { Sessions } from '../dissemination/sessions.js';
import { ControlCore } from './control-core.js';
import { CONTROL_DEFAULTS, type ControlEffect } from './control-effect.js';

function makeCore(): ControlCore {
  return new ControlCore(
    { ...CONTROL_DEFAULTS, me: 'a:1', zone: 'z', seeds: ['a:1', 'b:1', 'c:1'], incarnation: 1 },
    [],
    moment(0),
  );
}
function isUpdateTo(id: string, effect: ControlEffect): boolean {
  return effect.do === 'send' && effect.to === id && effect.message.kind === 'update';
}
function isAssignmentTo(id: string, effect: ControlEffect): boolean {
  return effect.do === 'send' && effect.to === id && effect.message.kind === 'assignParent';
}
function receiveConfigUpdate(core: ControlCore, count: number): void {
  core.onMessage(moment(10 + count), 'b:1', {
    kind: 'update',
    topic: 'config',
    epoch: 2,
    count,
    body: '{}',
  });
}
/** A member of another node's relay tree is answered once; later updates reach it through its own tree. */
test('a freshness request from a member of another tree is answered with one update, and none after it', () => {
  const core = makeCore();
  receiveConfigUpdate(core, 1);
  core.drain();
  core.onMessage(moment(20), 'l:9', { kind: 'freshnessRequest', nonce: -1, have: [], members: [] });
  expect(core.drain().filter((effect) => isUpdateTo('l:9', effect))).toHaveLength(1);
  receiveConfigUpdate(core, 2);
  expect(core.drain().filter((effect) => isUpdateTo('l:9', effect))).toHaveLength(0);
});
/** A child in this node's tree that also sends such a request still receives updates. */
test('a child that sends a freshness request still receives updates', () => {
  const core = makeCore();
  core.onMessage(moment(5), 'l:1', {
    kind: 'join',
    zone: 'z',
    address: 'l:1',
    epoch: 0,
    count: 0,
    lost: '',
  });
  core.onMessage(moment(20), 'l:1', { kind: 'freshnessRequest', nonce: -1, have: [], members: [] });
  core.drain();
  receiveConfigUpdate(core, 1);
  expect(core.drain().filter((effect) => isUpdateTo('l:1', effect))).toHaveLength(1);
});
/**
 * Computing the relay tree takes time proportional to its size: if every repeated join recomputed it, the cost would grow
 * with the square of the number of links.
 */
test('the relay tree is recomputed for a join that may change it, and not for every join', () => {
  const core = makeCore();
  const relayParents = vi.spyOn(Sessions.prototype, 'relayParents');
  function joinAll(at: number): void {
    for (let index = 0; index < 50; index += 1)
      core.onMessage(moment(at + index), `l:${100 + index}`, {
        kind: 'join',
        zone: 'z',
        address: `l:${100 + index}`,
        epoch: 0,
        count: 0,
        lost: '',
      });
  }
  joinAll(0);
  core.drain();
  relayParents.mockClear();
  joinAll(100);
  expect(relayParents).not.toHaveBeenCalled();
  expect(core.drain().filter((effect) => isAssignmentTo('l:149', effect))).toEqual([
    { do: 'send', to: 'l:149', message: { kind: 'assignParent', parent: 'l:111' } },
  ]);
  // A child that could not reach its parent is moved to the control node itself at once.
  core.onMessage(moment(200), 'l:149', {
    kind: 'join',
    zone: 'z',
    address: 'l:149',
    epoch: 0,
    count: 0,
    lost: 'l:111',
  });
  expect(relayParents).toHaveBeenCalled();
  relayParents.mockRestore();
});
