import { expect, test } from 'vitest';
import type { Message } from '../common/messages.js';
import { copyMessage } from './message-copy.js';

function pingOf(score: number): Message {
  const links = [{ peer: 'b:1', score, alive: true }];
  return {
    kind: 'ping',
    nonce: 1,
    epoch: 2,
    reports: [{ owner: 'a:1', version: 3, links }],
    leader: '',
  };
}
test('a copy equals the message after a JSON round trip', () => {
  for (const score of [0.25, Infinity, NaN]) {
    const message = pingOf(score);
    expect(copyMessage(message)).toEqual(JSON.parse(JSON.stringify(message)));
  }
});
test('a copy shares no mutable data with the message', () => {
  const message = pingOf(1);
  const copy = copyMessage(message);
  if (message.kind !== 'ping' || copy.kind !== 'ping') throw new TypeError('not a ping');
  message.reports[0]?.links.push({ peer: 'c:1', score: 2, alive: true });
  expect(copy.reports[0]?.links).toHaveLength(1);
});
