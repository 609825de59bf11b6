import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import { ComponentsNode, SOUND_DISK } from './testing/components-node.js';

const NOW = moment(0);

interface Answer {
  readonly status: number;
  readonly body: string;
}

/** The answer to a command at the node's own API. */
function answerOf(node: ComponentsNode, verb: string, body = ''): Answer | undefined {
  node.drain();
  node.components.commands.onCommand(NOW, 1, verb, body);
  for (const effect of node.drain())
    if (effect.do === 'reply') return { status: effect.status, body: effect.body };
  return undefined;
}
test('commands that only the leader can execute are rejected while no leader is known', () => {
  const node = new ComponentsNode(SOUND_DISK);
  for (const verb of ['read', 'live', 'edit', 'no such verb'])
    expect(answerOf(node, verb)?.status).toBe(503);
});
test('every node answers a status query', () => {
  const answer = answerOf(new ComponentsNode([]), 'status');
  expect(answer?.status).toBe(200);
  const status: unknown = JSON.parse(answer?.body ?? '');
  expect(status).toMatchObject({ me: 'a', standing: 'blank', leader: '', config: 'none' });
});
test('only a node whose replica is not sound forces a new cluster', () => {
  const sound = answerOf(new ComponentsNode(SOUND_DISK), 'found');
  const blank = answerOf(new ComponentsNode([]), 'found');
  expect(sound?.body).toBe('{"outcome":"already","standing":"sound"}');
  expect(blank?.body).toBe('{"outcome":"forced","standing":"blank"}');
});
test('a forwarded command is answered to the node that forwarded it', () => {
  const node = new ComponentsNode(SOUND_DISK);
  const message = {
    kind: 'command',
    id: 8,
    verb: 'zone',
    body: '',
    epoch: 3,
    leaderTime: 0,
  } as const;
  node.components.commands.onForwardedCommand(NOW, 'b', message);
  const [answer] = node.sent();
  expect(answer).toMatchObject(['b', { kind: 'commandReply', id: 8, status: 503 }]);
});
