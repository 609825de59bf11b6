import { expect, test } from 'vitest';
import { call, type CallReply } from './call.js';
import { ReplyServer, type HttpReply, type ReplyServerSettings } from './reply-server.js';

const FAILED: HttpReply = { status: 400, body: '{"error":"failed"}' };

/** What one call to a server with this to say gets. */
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

async function sayText(): Promise<HttpReply> {
  return { status: 200, body: 'größer', contentType: 'text/plain' };
}
async function sayJson(): Promise<HttpReply> {
  return { status: 200, body: '{}' };
}
async function sayNoLeader(): Promise<HttpReply> {
  return { status: 503, body: '{}' };
}
async function fail(): Promise<HttpReply> {
  throw new Error('the body is not JSON');
}
test('a reply goes out whole with its length and type', async () => {
  const text = await replyOf({ handle: sayText });
  expect([text.status, text.body]).toEqual([200, 'größer']);
  expect(text.headers).toMatchObject({ 'content-type': 'text/plain', 'content-length': '8' });
  const json = await replyOf({ handle: sayJson, retryAfterSeconds: 2 });
  expect(json.headers['content-type']).toBe('application/json');
  expect(json.headers['retry-after']).toBeUndefined();
});
test('when to come back is told with status 503, and only where it is set', async () => {
  const told = await replyOf({ handle: sayNoLeader, retryAfterSeconds: 2 });
  expect([told.status, told.headers['retry-after']]).toEqual([503, '2']);
  expect((await replyOf({ handle: sayNoLeader })).headers['retry-after']).toBeUndefined();
});
test('a call that fails gets the reply to failures', async () => {
  const failed = await replyOf({ handle: fail });
  expect([failed.status, failed.body]).toEqual([400, FAILED.body]);
});
