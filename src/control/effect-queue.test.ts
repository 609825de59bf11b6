import { expect, test } from 'vitest';
import { EffectQueue } from './effect-queue.js';
test('effects are drained once, in the order in which they were added', () => {
  const effects = new EffectQueue();
  effects.log({ event: 'leader changed', leader: 'a', epoch: 1 });
  effects.send('b', { kind: 'demand', body: '' });
  effects.add({ do: 'askList' });
  expect(effects.drain()).toEqual([
    { do: 'log', event: { event: 'leader changed', leader: 'a', epoch: 1 } },
    { do: 'send', to: 'b', message: { kind: 'demand', body: '' } },
    { do: 'askList' },
  ]);
  expect(effects.drain()).toEqual([]);
});
test('a command is answered at its origin', () => {
  const effects = new EffectQueue();
  const answer = { status: 200, body: '{}' };
  effects.answer({ from: '', id: 3 }, answer);
  effects.answer({ from: 'b', id: 4 }, answer);
  expect(effects.drain()).toEqual([
    { do: 'reply', id: 3, ...answer },
    { do: 'send', to: 'b', message: { kind: 'commandReply', id: 4, ...answer } },
  ]);
});
