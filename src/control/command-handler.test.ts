import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import { DutyNode, SOUND_DISK } from './testing/duty-node.js';

const NOW = moment(0);

interface Answer {
  readonly status: number;
  readonly body: string;
}

/** The answer to a command at the node's own API. */
function answerOf(node: DutyNode, verb: string, body = ''): Answer | undefined {
  node.drain();
  node.duties.commands.onCommand(NOW, 1, verb, body);
  for (const effect of node.drain())
    if (effect.do === 'reply') return { status: effect.status, body: effect.body };
  return undefined;
}
test('what the leader alone can do is turned away while nobody leads', () => {
  const node = new DutyNode(SOUND_DISK);
  for (const verb of ['read', 'live', 'edit', 'no such verb'])
    expect(answerOf(node, verb)?.status).toBe(503);
});
test('any node tells its status', () => {
  const answer = answerOf(new DutyNode([]), 'status');
  expect(answer?.status).toBe(200);
  const status: unknown = JSON.parse(answer?.body ?? '');
  expect(status).toMatchObject({ me: 'a', standing: 'blank', leader: '', config: 'none' });
});
test('only a node that does not count is forced to', () => {
  const sound = answerOf(new DutyNode(SOUND_DISK), 'found');
  const blank = answerOf(new DutyNode([]), 'found');
  expect(sound?.body).toBe('{"outcome":"already","standing":"sound"}');
  expect(blank?.body).toBe('{"outcome":"forced","standing":"blank"}');
});
test('a command that was passed on is answered to whoever passed it on', () => {
  const node = new DutyNode(SOUND_DISK);
  const message = {
    kind: 'command',
    id: 8,
    verb: 'zone',
    body: '',
    epoch: 3,
    leaderTime: 0,
  } as const;
  node.duties.commands.onForwardedCommand(NOW, 'b', message);
  const [answer] = node.sent();
  expect(answer).toMatchObject(['b', { kind: 'commandReply', id: 8, status: 503 }]);
});
