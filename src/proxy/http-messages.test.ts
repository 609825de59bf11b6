import { IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import { expect, test } from 'vitest';
import { hopByHopHeaders, hasSelfDefinedLength, forwardedHeaders } from './http-messages.js';

interface HeaderLine {
  readonly name: string;
  readonly value: string;
}

/** A message as Node reads it. */
function messageOf(status: number, ...lines: readonly HeaderLine[]): IncomingMessage {
  const message = new IncomingMessage(new Socket());
  message.statusCode = status;
  for (const { name, value } of lines) {
    message.headers[name] = value;
    message.headersDistinct[name] = [...(message.headersDistinct[name] ?? []), value];
  }
  return message;
}
test('hop-by-hop headers are not forwarded, and repeated headers stay repeated', () => {
  const message = messageOf(
    200,
    { name: 'connection', value: 'X-One , keep-alive' },
    { name: 'x-one', value: '1' },
    { name: 'x-two', value: '2' },
    { name: 'x-two', value: '3' },
    { name: 'te', value: 'trailers' },
    { name: 'host', value: 'h' },
    { name: 'content-length', value: '5' },
  );
  expect(forwardedHeaders(message, hopByHopHeaders('host'))).toEqual({
    'x-two': ['2', '3'],
    'content-length': '5',
  });
  expect(forwardedHeaders(message, hopByHopHeaders('content-length'))).toEqual({
    'x-two': ['2', '3'],
    host: 'h',
  });
});
test('a content length or chunked coding alone defines where a response ends', () => {
  const length = { name: 'content-length', value: '5' };
  expect(hasSelfDefinedLength('GET', messageOf(200))).toBe(false);
  expect(hasSelfDefinedLength('GET', messageOf(200, length))).toBe(true);
  for (const status of [204, 304])
    expect(hasSelfDefinedLength('GET', messageOf(status))).toBe(true);
  expect(hasSelfDefinedLength('HEAD', messageOf(200))).toBe(true);
  const codings = ['chunked', ' Chunked', 'gzip, chunked', 'chunked, gzip', 'identity'];
  const hasLength: boolean[] = [];
  for (const value of codings)
    hasLength.push(
      hasSelfDefinedLength('GET', messageOf(200, length, { name: 'transfer-encoding', value })),
    );
  expect(hasLength).toEqual([true, true, false, false, false]);
});
