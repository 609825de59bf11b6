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
function isNewsTo(id: string, effect: ControlEffect): boolean {
  return effect.do === 'send' && effect.to === id && effect.message.kind === 'update';
}
function isAssignmentTo(id: string, effect: ControlEffect): boolean {
  return effect.do === 'send' && effect.to === id && effect.message.kind === 'assignParent';
}
function tell(core: ControlCore, count: number): void {
  core.onMessage(moment(10 + count), 'b:1', {
    kind: 'update',
    topic: 'config',
    epoch: 2,
    count,
    body: '{}',
  });
}
/** Who asks across is answered and forgotten; its news come down the tree it hangs in. */
test('who asks across gets what it lacks, and nothing after that', () => {
  const core = makeCore();
  tell(core, 1);
  core.drain();
  core.onMessage(moment(20), 'l:9', { kind: 'freshnessRequest', nonce: -1, have: [], members: [] });
  expect(core.drain().filter((effect) => isNewsTo('l:9', effect))).toHaveLength(1);
  tell(core, 2);
  expect(core.drain().filter((effect) => isNewsTo('l:9', effect))).toHaveLength(0);
});
/** Those that hang here go on being fed when they ask across as well. */
test('a child that asks across is fed on', () => {
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
  tell(core, 1);
  expect(core.drain().filter((effect) => isNewsTo('l:1', effect))).toHaveLength(1);
});
/** Drawing the tree takes time with its size: words that change nothing must not draw it, or cost grows with the square of the links. */
test('the tree is drawn where a join may change it, and not for every join', () => {
  const core = makeCore();
  const chosen = vi.spyOn(Sessions.prototype, 'relayParents');
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
  chosen.mockClear();
  joinAll(100);
  expect(chosen).not.toHaveBeenCalled();
  expect(core.drain().filter((effect) => isAssignmentTo('l:149', effect))).toEqual([
    { do: 'send', to: 'l:149', message: { kind: 'assignParent', parent: 'l:111' } },
  ]);
  // One that a child could not reach hangs under the control node itself at once.
  core.onMessage(moment(200), 'l:149', {
    kind: 'join',
    zone: 'z',
    address: 'l:149',
    epoch: 0,
    count: 0,
    lost: 'l:111',
  });
  expect(chosen).toHaveBeenCalled();
  chosen.mockRestore();
});
