import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import { record, string, type } from 'superstruct';
import { expect, test } from 'vitest';
import { monotonicNow } from '../common/clock.js';
import { mustParseAs } from '../common/json.js';
import {
  TestProxy,
  event,
  events,
  idOf,
  ignore,
  withTestProxy,
  writeStreamHead,
} from './testing/test-proxy.js';

/** Sends three events and part of the fourth, then disconnects. */
function disconnectMidStream(runnerRequest: IncomingMessage, runnerResponse: ServerResponse): void {
  writeStreamHead(runnerResponse, runnerRequest);
  runnerResponse.write(events(1, 3) + 'id: 4\nda', () => {
    runnerResponse.destroy();
  });
}
function streamToEnd(runnerRequest: IncomingMessage, runnerResponse: ServerResponse): void {
  const from = Number(runnerRequest.headers['last-event-id'] ?? 0) + 1;
  writeStreamHead(runnerResponse, runnerRequest);
  runnerResponse.end(events(from, 6));
}
function disconnectImmediately(runnerRequest: IncomingMessage): void {
  runnerRequest.socket.destroy();
}
function respondCompletely(runnerRequest: IncomingMessage, runnerResponse: ServerResponse): void {
  runnerResponse
    .writeHead(200, { 'x-id': idOf(runnerRequest), 'x-seal': 's', 'content-length': 5 })
    .end('whole');
}
function disconnectMidResponse(
  runnerRequest: IncomingMessage,
  runnerResponse: ServerResponse,
): void {
  runnerResponse.writeHead(200, { 'x-id': idOf(runnerRequest), 'content-length': 10 });
  runnerResponse.write('whol', () => {
    runnerResponse.destroy();
  });
}
function respondWithForeignId(_request: IncomingMessage, runnerResponse: ServerResponse): void {
  runnerResponse.writeHead(200, { 'x-id': 'somebody-else', 'content-length': 5 }).end('other');
}
function respondFull(runnerRequest: IncomingMessage, runnerResponse: ServerResponse): void {
  runnerResponse
    .writeHead(503, { 'x-id': idOf(runnerRequest), 'x-not-run': '1', 'content-length': 0 })
    .end();
}
function respondWithoutLength(
  runnerRequest: IncomingMessage,
  runnerResponse: ServerResponse,
): void {
  runnerRequest.resume();
  runnerResponse.socket?.end(
    `HTTP/1.1 200 OK\r\nx-id: ${idOf(runnerRequest)}\r\nconnection: close\r\n\r\nhello`,
  );
}

async function checkStream(proxy: TestProxy): Promise<void> {
  const response = await proxy.request('/stream/1');
  expect([response.status, response.body, response.isComplete, response.headers['x-seal']]).toEqual(
    [200, events(1, 6), true, 'first'],
  );
}
async function checkResume(proxy: TestProxy): Promise<void> {
  const response = await proxy.request('/stream/1');
  expect([response.body, response.isComplete]).toEqual([events(1, 6), true]);
  expect(proxy.dispatcher.counts.resumed).toBe(1);
}
function respondServerError(runnerRequest: IncomingMessage, runnerResponse: ServerResponse): void {
  runnerResponse.writeHead(500, { 'x-id': idOf(runnerRequest), 'content-length': 4 }).end('oops');
}
/** A response with a content length of which only a part arrives before the runner disconnects. */
function disconnectMidBody(status: number, contentType: string, part: string): RequestListener {
  return (runnerRequest, runnerResponse) => {
    runnerRequest.resume();
    runnerResponse.writeHead(status, {
      'x-id': idOf(runnerRequest),
      'content-type': contentType,
      'content-length': part.length + 200,
    });
    runnerResponse.write(part, () => {
      runnerResponse.destroy();
    });
  };
}
/** The client receives a truncated response, and then a complete one to its next request. */
async function expectTruncated(proxy: TestProxy, status: number, part: string): Promise<void> {
  const response = await proxy.request('/stream/1');
  expect([response.status, response.body, response.isComplete]).toEqual([status, part, false]);
  expect(proxy.dispatcher.counts.resumed).toBe(0);
  proxy.dispatcher.onDrainingRunners(monotonicNow(), ['r0']);
  const next = await proxy.request('/stream/1');
  expect([next.status, next.body, next.isComplete]).toEqual([200, events(1, 6), true]);
}
/** An event stream with a success status other than the one that the client has received. */
function streamWithOtherStatus(
  runnerRequest: IncomingMessage,
  runnerResponse: ServerResponse,
): void {
  runnerResponse.writeHead(206, {
    'content-type': 'text/event-stream',
    'x-id': idOf(runnerRequest),
  });
  runnerResponse.end(events(4, 6));
}
function respondWithoutStream(
  runnerRequest: IncomingMessage,
  runnerResponse: ServerResponse,
): void {
  runnerResponse.writeHead(200, { 'x-id': idOf(runnerRequest), 'content-length': 5 }).end('whole');
}
async function checkTruncatedStream(proxy: TestProxy): Promise<void> {
  const response = await proxy.request('/stream/1');
  expect([response.body, response.isComplete]).toEqual([events(1, 3), false]);
  // The proxy still responds.
  expect((await proxy.request('/nowhere/1')).status).toBe(503);
}
async function checkHeadSize(proxy: TestProxy): Promise<void> {
  proxy.forwarder.applyLimits();
  expect((await proxy.request('/safe/1', { 'x-large': 'x'.repeat(20_000) })).status).toBe(431);
}
async function checkClientResumes(proxy: TestProxy): Promise<void> {
  const response = await proxy.request('/stream/1', { 'last-event-id': '4' });
  expect([response.body, response.isComplete]).toEqual([events(5, 6), true]);
}
async function checkOnceTruncated(proxy: TestProxy): Promise<void> {
  const response = await proxy.request('/once/1');
  expect([response.status, response.body, response.isComplete]).toEqual([200, events(1, 3), false]);
}
async function checkOnceDisconnected(proxy: TestProxy): Promise<void> {
  expect((await proxy.request('/once/1')).status).toBe(502);
  expect((await proxy.request('/unsafe/1')).status).toBe(502);
}
async function checkSafe(proxy: TestProxy): Promise<void> {
  const response = await proxy.request('/safe/1');
  expect([response.status, response.body, response.isComplete]).toEqual([200, 'whole', true]);
}
async function checkForeignId(proxy: TestProxy): Promise<void> {
  expect((await proxy.request('/unsafe/1')).status).toBe(502);
  expect((await proxy.request('/safe/1')).body).toBe('whole');
}
async function checkFull(proxy: TestProxy): Promise<void> {
  const response = await proxy.request('/unsafe/1');
  expect([response.status, response.headers['retry-after']]).toEqual([503, '0.25']);
}
async function checkWithoutLength(proxy: TestProxy): Promise<void> {
  expect((await proxy.request('/unsafe/1')).status).toBe(502);
}
async function checkSizes(proxy: TestProxy): Promise<void> {
  expect((await proxy.request('/safe/1', {}, 'x'.repeat(1001))).status).toBe(413);
}
/** The head of a request as `echoHead` returns it. */
const EchoShape = type({ url: string(), headers: record(string(), string()) });

async function checkHeaders(proxy: TestProxy): Promise<void> {
  const response = await proxy.request('/safe/1?x=1', {
    'x-more': 'kept',
    connection: 'keep-alive, x-hop',
    'x-hop': 'dropped',
  });
  const { url, headers } = mustParseAs(EchoShape, response.body, 'the echoed head');
  expect([url, headers['x-more'], headers['x-hop'], headers['host'], headers['x-target']]).toEqual([
    '/safe/1?x=1',
    'kept',
    undefined,
    'h',
    'r0',
  ]);
}
function echoHead(runnerRequest: IncomingMessage, runnerResponse: ServerResponse): void {
  const body = JSON.stringify({ url: runnerRequest.url, headers: runnerRequest.headers });
  runnerResponse
    .writeHead(200, { 'x-id': idOf(runnerRequest), 'content-length': body.length })
    .end(body);
}

test('a stream is forwarded completely, with the head of its runner', () =>
  withTestProxy([streamToEnd], checkStream));
test('a stream whose runner disconnects is continued by another runner in the same response', () =>
  withTestProxy([disconnectMidStream, streamToEnd], checkResume));
test('a stream whose runner disconnects is visibly truncated if the other runners fail', () =>
  withTestProxy([disconnectMidStream, respondServerError], checkTruncatedStream));
// Guards against MIXED: a truncated error response must not be completed with another run's stream.
test('a truncated error response on a resumable route is not continued by another run', async () => {
  const json = '{"error":"';
  await withTestProxy([disconnectMidBody(404, 'application/json', json), streamToEnd], (proxy) =>
    expectTruncated(proxy, 404, json),
  );
  // An error response may be an event stream as well, and another run's events are no continuation of it.
  await withTestProxy(
    [disconnectMidBody(404, 'text/event-stream', events(1, 2)), streamToEnd],
    (proxy) => expectTruncated(proxy, 404, events(1, 2)),
  );
});
test('a truncated success response that is no event stream is not continued by an event stream', () =>
  withTestProxy([disconnectMidBody(200, 'text/plain', 'half'), streamToEnd], (proxy) =>
    expectTruncated(proxy, 200, 'half'),
  ));
test('a stream is continued only by an event stream of the same status', async () => {
  await withTestProxy([disconnectMidStream, respondWithoutStream], checkTruncatedStream);
  await withTestProxy([disconnectMidStream, streamWithOtherStatus], checkTruncatedStream);
});
test('request heads above the configured size are rejected', () =>
  withTestProxy([respondCompletely], checkHeadSize));
test('a client resumes after the last event that it has received', () =>
  withTestProxy([streamToEnd], checkClientResumes));
test('a stream that may run once is visibly truncated after a complete event', () =>
  withTestProxy([disconnectMidStream, streamToEnd], checkOnceTruncated));
test('a request that may run once and whose runner disconnects is answered as failed, not as rejected', () =>
  withTestProxy([disconnectImmediately, disconnectImmediately], checkOnceDisconnected));
test('a safe request whose response is truncated is retried', () =>
  withTestProxy([disconnectMidResponse, respondCompletely], checkSafe));
test('a response with the id of another request is never forwarded', () =>
  withTestProxy([respondWithForeignId, respondCompletely], checkForeignId));
test('a request to a full service is rejected with a retry delay', () =>
  withTestProxy([respondFull, respondFull], checkFull));
test('a response that does not define its own length is not forwarded as complete', () =>
  withTestProxy([respondWithoutLength], checkWithoutLength));
test('a body that is too large is rejected', () => withTestProxy([respondCompletely], checkSizes));
test('request heads are forwarded without hop-by-hop headers', () =>
  withTestProxy([echoHead], checkHeaders));
/** The runner responds to the first request twice; the next request on that connection could receive the surplus response. */
test('a surplus response on a kept-alive connection is never forwarded', async () => {
  const proxy = new TestProxy();
  function talk(socket: Socket): void {
    let count = 0;
    socket.on('data', (chunk: Buffer) => {
      const id = /x-id: (\S+)/i.exec(chunk.toString())?.[1] ?? '';
      count += 1;
      const text = `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: ${id.length}\r\n\r\n${id}`;
      socket.write(count === 1 ? text + text : text);
    });
    socket.on('error', ignore);
  }
  await proxy.start([talk, talk], true);
  try {
    for (let index = 1; index <= 4; index += 1) {
      const response = await proxy.request('/safe/1');
      if (response.status === 200) expect(response.body).toBe(`q${index}`);
    }
  } finally {
    await proxy.stop();
  }
});
/** Answers with a status line of its own; the head of an event stream if the path is that of one. */
function respondWithStatus(status: string): RequestListener {
  function respond(runnerRequest: IncomingMessage): void {
    const type = runnerRequest.url?.startsWith('/stream/') ? 'text/event-stream' : 'text/plain';
    const lines = [
      `HTTP/1.1 ${status} OK`,
      `x-id: ${idOf(runnerRequest)}`,
      `content-type: ${type}`,
    ];
    runnerRequest.socket.write(`${lines.join('\r\n')}\r\ncontent-length: 2\r\n\r\nok`);
  }
  return respond;
}

// Guards against LOST (review/2): such a status ended the proxy, and all that it had under way. And against MIXED
// (review/10): a status 101 that nobody asked for was passed on to the client.
test.each(['000', '020', '099', '101'])(
  'a response with status %s is no answer: what may be repeated runs elsewhere, the rest has an unknown outcome',
  (status) =>
    withTestProxy([respondWithStatus(status)], async (proxy) => {
      for (const path of ['/unsafe/1', '/once/1', '/safe/1', '/stream/1'])
        expect((await proxy.request(path)).status, path).toBe(502);
      expect(proxy.counters.get('answers.not-final')).toBe(4);
    }),
);
test('a request that may be repeated runs elsewhere after a response with status 020', () =>
  withTestProxy([respondWithStatus('020'), respondCompletely], async (proxy) => {
    const response = await proxy.request('/safe/1');
    expect([response.status, response.body]).toEqual([200, 'whole']);
  }));
test('the run of a client that disconnects is canceled', async () => {
  const proxy = new TestProxy();
  let resolveCanceled: () => void = ignore;
  const canceled = new Promise<void>((done: () => void) => {
    resolveCanceled = done;
  });
  function hang(runnerRequest: IncomingMessage, runnerResponse: ServerResponse): void {
    writeStreamHead(runnerResponse, runnerRequest);
    runnerResponse.write(event(1));
    runnerResponse.once('close', resolveCanceled);
  }
  await proxy.start([hang]);
  const [host, port] = proxy.address.split(':');
  const socket = connect(Number(port), host);
  socket.write('POST /stream/1 HTTP/1.1\r\nhost: h\r\nx-id: q\r\ncontent-length: 0\r\n\r\n');
  socket.once('data', () => {
    socket.destroy();
  });
  await canceled;
  await proxy.stop();
  expect(proxy.dispatcher.inFlight).toBe(0);
});
