import { expect, test } from 'vitest';
import { call, type CallReply } from './call.js';
import { ReplyServer, type HttpReply, type ReplyServerSettings } from './reply-server.js';

const FAILED: HttpReply = { status: 400, body: '{"error":"failed"}' };

/** Starts a server with these settings and returns its response to one request. */
async function replyOf(
  settings: Pick<ReplyServerSettings, 'handle' | 'retryAfterSeconds'>,
): Promise<CallReply> {
  const server = new ReplyServer({ ...settings, onFailure: FAILED });
  const port = await server.listen('127.0.0.1:0');
  try {
    return await call('GET', `127.0.0.1:${port}`, '/', undefined, 5000);
  } finally {
    server.close();
  }
}

async function replyText(): Promise<HttpReply> {
  return { status: 200, body: 'größer', contentType: 'text/plain' };
}
async function replyJson(): Promise<HttpReply> {
  return { status: 200, body: '{}' };
}
async function replyUnavailable(): Promise<HttpReply> {
  return { status: 503, body: '{}' };
}
async function fail(): Promise<HttpReply> {
  throw new Error('the body is not JSON');
}
test('a response has its content type and length', async () => {
  const text = await replyOf({ handle: replyText });
  expect([text.status, text.body]).toEqual([200, 'größer']);
  expect(text.headers).toMatchObject({ 'content-type': 'text/plain', 'content-length': '8' });
  const json = await replyOf({ handle: replyJson, retryAfterSeconds: 2 });
  expect(json.headers['content-type']).toBe('application/json');
  expect(json.headers['retry-after']).toBeUndefined();
});
test('the header retry-after is sent with status 503 only, and only if it is set', async () => {
  const withHeader = await replyOf({ handle: replyUnavailable, retryAfterSeconds: 2 });
  expect([withHeader.status, withHeader.headers['retry-after']]).toEqual([503, '2']);
  expect((await replyOf({ handle: replyUnavailable })).headers['retry-after']).toBeUndefined();
});
test('a request whose handler fails gets the response to failures', async () => {
  const failed = await replyOf({ handle: fail });
  expect([failed.status, failed.body]).toEqual([400, FAILED.body]);
});
