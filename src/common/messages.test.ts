import { expect, test } from 'vitest';
import { type Message, SHAPES, decodeMessage, encodeMessage } from './messages.js';
import { Codec, Wire } from './wire.js';
import { string, type } from 'superstruct';
test('a decoded message equals the encoded one', () => {
  const report = { owner: 'a', version: 3, links: [{ peer: 'b', score: 0.25, alive: true }] };
  const ping: Message = { kind: 'ping', nonce: 7, epoch: 4, reports: [report], leader: 'a' };
  expect(decodeMessage(encodeMessage(ping))).toEqual(ping);
  const write: Message = {
    kind: 'write',
    part: 'p',
    epoch: 2,
    count: 9007199254740991,
    body: 'é'.repeat(70000),
  };
  expect(decodeMessage(encodeMessage(write))).toEqual(write);
});
test('messages of an older version can be decoded by a newer one, and the reverse', () => {
  const older = new Codec(new Wire(), 'news', type({ topic: string() }));
  const newer = new Codec(new Wire(), 'news', SHAPES.update);
  expect(newer.decode(older.encode({ topic: 'table' }))).toEqual({
    topic: 'table',
    epoch: 0,
    count: 0,
    body: '',
  });
  expect(older.decode(newer.encode({ topic: 'x', epoch: 1, count: 2, body: 'b' }))).toEqual({
    topic: 'x',
  });
});
test('invalid bytes are rejected as a malformed frame', () => {
  expect(() => {
    decodeMessage(Buffer.from([4, 10, 255, 1]));
  }).toThrow(/undecodable/);
  expect(() => {
    decodeMessage(Buffer.from([250]));
  }).toThrow(/unknown kind/);
});
