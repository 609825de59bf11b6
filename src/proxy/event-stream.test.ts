import { expect, test } from 'vitest';
import { EventStream, type StreamEvent } from './event-stream.js';

function textOf(event: StreamEvent): string {
  return `${event.id}|${event.bytes.toString()}`;
}

test('splits a stream into complete events with their ids, whatever the chunk boundaries', () => {
  const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: id: 9\r\n\r\nevent: x\ndata: b\n\n';
  const whole = new EventStream().push(Buffer.from(text)).map(textOf);
  expect(whole).toEqual([
    '1|id: 1\ndata: a\n\n',
    '2|id: 2\r\ndata: id: 9\r\n\r\n',
    'undefined|event: x\ndata: b\n\n',
  ]);
  for (let size = 1; size < 8; size += 1) {
    const stream = new EventStream();
    const events: string[] = [];
    for (let at = 0; at < text.length; at += size)
      events.push(...stream.push(Buffer.from(text.slice(at, at + size))).map(textOf));
    expect(events).toEqual(whole);
    expect(stream.remainder).toBeUndefined();
  }
});
test('holds back an incomplete event', () => {
  const stream = new EventStream();
  expect(stream.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')).map(textOf)).toEqual([
    '1|id: 1\ndata: a\n\n',
  ]);
  expect(stream.remainder?.toString()).toBe('id: 2\nda');
});
