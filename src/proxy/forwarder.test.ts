import { once } from 'node:events';
import {
  Agent,
  createServer,
  request,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import {
  connect,
  createServer as createTcp,
  type Server as TcpServer,
  type Socket,
} from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { expect, test } from 'vitest';
import { Counters } from '../common/counters.js';
import { monotonicNow } from '../common/clock.js';
import type { FleetRunner } from '../placement/fleet.js';
import type { Route, Routing } from '../route/routing.js';
import { Dispatcher, type ResponseStatus, type RejectReason } from './dispatcher.js';
import { Forwarder } from './forwarder.js';
import type { RequestDialect, RequestAnnotations, RunnerAnnotations } from './request-dialect.js';

/** A dialect for these tests, with the headers x-id, x-target, x-not-run and x-seal. */
class TestDialect implements RequestDialect {
  readRequest(headers: IncomingHttpHeaders): RequestAnnotations {
    const id = headers['x-id'];
    const last = headers['last-event-id'];
    return {
      attemptId: typeof id === 'string' ? id : '',
      model: '',
      adapter: '',
      promptTokens: 0,
      prefix: [],
      timeLeftMs: 4000,
      lastEventId: typeof last === 'string' ? Number(last) : undefined,
    };
  }

  annotateRunnerRequest(headers: OutgoingHttpHeaders, annotations: RunnerAnnotations): void {
    headers['x-target'] = annotations.runner;
    if (annotations.lastEventId !== undefined)
      headers['last-event-id'] = String(annotations.lastEventId);
  }

  readResponse(status: number, headers: IncomingHttpHeaders, attemptId: string): ResponseStatus {
    return {
      status,
      isUnprocessed: headers['x-not-run'] !== undefined,
      isGenuine: headers['x-id'] === attemptId,
    };
  }

  rejection(
    _reason: RejectReason,
    retryAfterMs: number,
  ): { status: number; headers: OutgoingHttpHeaders } {
    return { status: 503, headers: { 'retry-after': String(retryAfterMs / 1000) } };
  }
}

const base: Route = {
  name: 'r',
  host: 'h',
  prefix: '/stream/',
  kind: 'stream',
  timeoutMs: 4000,
  latencyTargetMs: 1000,
  gapTargetMs: 600,
  priority: 0,
  splits: [{ service: 's', weight: 1 }],
  maxAttempts: 2,
  isSticky: false,
  isResumable: true,
};
const routing: Routing = {
  version: 1,
  routes: [
    base,
    { ...base, name: 'once', prefix: '/once/', isResumable: false, maxAttempts: 1 },
    { ...base, name: 'safe', prefix: '/safe/', kind: 'safe', isResumable: false },
    { ...base, name: 'unsafe', prefix: '/unsafe/', kind: 'unsafe', isResumable: false },
  ],
  services: [
    {
      name: 's',
      healthPath: '/',
      maxConnections: 100,
      warmupMs: 0,
      warmupPerSecond: 0,
      engine: undefined,
    },
  ],
  limits: { maxHeaderBytes: 16_000, maxBodyBytes: 1000, headerWaitMs: 3000, idleMs: 5000 },
};

function zero(): number {
  return 0;
}
function always(): boolean {
  return true;
}
function ignore(): void {
  /* there is no agent, and errors show in the response */
}

async function listen(server: Server | TcpServer): Promise<string> {
  await new Promise<void>((done: () => void) => {
    server.listen(0, '127.0.0.1', done);
  });
  const bound = server.address();
  return `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : 0}`;
}

interface ReceivedResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  readonly isComplete: boolean;
}
class TestProxy {
  readonly counters = new Counters();
  readonly dispatcher = new Dispatcher({
    proxyId: 'f',
    zone: 'z',
    retry: { ratio: 0.2, extra: 50, windowMs: 10_000 },
    warmupExcess: 1.5,
    connectTimeoutMs: 300,
    random: zero,
    hasIdleConnection: always,
  });
  readonly forwarder = new Forwarder(
    this.dispatcher,
    new TestDialect(),
    this.counters,
    monotonicNow,
    ignore,
  );
  readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });
  readonly servers: (Server | TcpServer)[] = [];
  readonly seen: string[] = [];
  #address = '';
  #lastRequestId = 0;
  #tickTimer: NodeJS.Timeout | undefined;

  async start(
    runners: readonly (RequestListener | ((socket: Socket) => void))[],
    isRaw = false,
  ): Promise<void> {
    const list: FleetRunner[] = [];
    for (const [index, take] of runners.entries()) {
      const server = isRaw ? createTcp() : createServer();
      server.on(isRaw ? 'connection' : 'request', take);
      this.servers.push(server);
      list.push({
        id: `r${index}`,
        address: await listen(server),
        zone: 'z',
        service: 's',
        slots: 10,
        isLeaving: false,
        coldMs: 0,
        holds: [],
        coming: [],
      });
    }
    this.dispatcher.onConfiguration(monotonicNow(), routing, []);
    this.dispatcher.onFleet(monotonicNow(), { flows: 1, runners: list, waits: [] });
    this.#address = `127.0.0.1:${await this.forwarder.listen('127.0.0.1:0')}`;
    this.#tickTimer = setInterval(() => this.forwarder.tick(), 20);
  }

  async stop(): Promise<void> {
    clearInterval(this.#tickTimer);
    this.agent.destroy();
    await this.forwarder.close(100);
    for (const server of this.servers) {
      if ('closeAllConnections' in server) server.closeAllConnections();
      server.close();
    }
  }

  get address(): string {
    return this.#address;
  }

  request(
    path: string,
    headers: OutgoingHttpHeaders = {},
    body = 'hello',
  ): Promise<ReceivedResponse> {
    this.#lastRequestId += 1;
    const [host, port] = this.#address.split(':');
    const sent = request({
      host,
      port: Number(port),
      method: 'POST',
      path,
      agent: this.agent,
      headers: {
        host: 'h',
        'x-id': `q${this.#lastRequestId}`,
        'content-length': body.length,
        ...headers,
      },
    });
    const received = new Promise<ReceivedResponse>(
      (done: (received: ReceivedResponse) => void, fail: (thrown: unknown) => void) => {
        sent.once('response', (response: IncomingMessage) => {
          const chunks: Buffer[] = [];
          response.on('data', (chunk: Buffer) => {
            chunks.push(chunk);
          });
          response.on('error', ignore);
          response.once('close', () => {
            done({
              status: response.statusCode ?? 0,
              headers: response.headers,
              body: Buffer.concat(chunks).toString(),
              isComplete: response.complete,
            });
          });
        });
        sent.once('error', fail);
      },
    );
    sent.end(body);
    return received;
  }
}

function idOf(runnerRequest: IncomingMessage): string {
  const id = runnerRequest.headers['x-id'];
  return typeof id === 'string' ? id : '';
}
function event(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}
function writeStreamHead(runnerResponse: ServerResponse, runnerRequest: IncomingMessage): void {
  runnerResponse.writeHead(200, {
    'content-type': 'text/event-stream',
    'x-id': idOf(runnerRequest),
    'x-seal': 'first',
  });
}
function events(from: number, to: number): string {
  let text = '';
  for (let id = from; id <= to; id += 1) text += event(id);
  return text;
}

async function withTestProxy(
  runners: readonly RequestListener[],
  run: (proxy: TestProxy) => Promise<void>,
): Promise<void> {
  const proxy = new TestProxy();
  await proxy.start(runners);
  try {
    await run(proxy);
  } finally {
    await proxy.stop();
  }
}

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
async function checkHeaders(proxy: TestProxy): Promise<void> {
  const response = await proxy.request('/safe/1?x=1', {
    'x-more': 'kept',
    connection: 'keep-alive, x-hop',
    'x-hop': 'dropped',
  });
  const { url, headers } = JSON.parse(response.body);
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
test('a graceful shutdown lets running requests complete', async () => {
  const proxy = new TestProxy();
  let finish: () => void = ignore;
  function slow(runnerRequest: IncomingMessage, runnerResponse: ServerResponse): void {
    writeStreamHead(runnerResponse, runnerRequest);
    runnerResponse.write(event(1));
    function end(): void {
      runnerResponse.end(event(2));
    }
    finish = end;
    if (resolveRunning) resolveRunning();
  }
  let resolveRunning: (() => void) | undefined;
  const running = new Promise<void>((done: () => void) => {
    resolveRunning = done;
  });
  await proxy.start([slow]);
  const pendingResponse = proxy.request('/stream/1');
  await running;
  proxy.forwarder.startDraining();
  const closed = proxy.forwarder.close(5000);
  finish();
  const response = await pendingResponse;
  expect([response.body, response.isComplete]).toEqual([events(1, 2), true]);
  await closed;
  await proxy.stop();
});
// Guards against LOST (review/3): a planned stop went on taking requests from connections that were never told to close, and
// cut them at its limit.
test('during a graceful shutdown a connection is closed in order once the response that had begun before is complete', async () => {
  const proxy = new TestProxy();
  const heads: string[] = [];
  let finish: () => void = ignore;
  await proxy.start([
    (runnerRequest, runnerResponse) => {
      heads.push(idOf(runnerRequest));
      writeStreamHead(runnerResponse, runnerRequest);
      runnerResponse.write(event(1));
      finish = () => runnerResponse.end(event(2));
    },
  ]);
  const [host, port] = proxy.address.split(':');
  const client = connect(Number(port), host).on('error', ignore);
  const send = (id: string): boolean =>
    client.write(`POST /once/1 HTTP/1.1\r\nhost: h\r\nx-id: ${id}\r\ncontent-length: 0\r\n\r\n`);
  let received = '';
  try {
    send('q1');
    client.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
    });
    while (!received.includes(event(1))) await pause(5);
    const ended = once(client, 'end');
    proxy.forwarder.startDraining();
    finish();
    while (!received.endsWith('0\r\n\r\n')) await pause(1);
    expect(received).toContain(event(2));
    // It crosses the close, and is not run.
    send('q2');
    await ended;
    expect(heads).toEqual(['q1']);
  } finally {
    client.destroy();
    await proxy.stop();
  }
});
test('during a graceful shutdown a connection stays open while a request on it is in progress', async () => {
  const proxy = new TestProxy();
  const finish: (() => void)[] = [];
  await proxy.start([
    (runnerRequest, runnerResponse) => {
      writeStreamHead(runnerResponse, runnerRequest);
      runnerResponse.write(event(1));
      finish.push(() => runnerResponse.end(`id: 2\ndata: ${idOf(runnerRequest)}\n\n`));
    },
  ]);
  const [host, port] = proxy.address.split(':');
  const client = connect(Number(port), host);
  const text = (id: string): string =>
    `POST /once/1 HTTP/1.1\r\nhost: h\r\nx-id: ${id}\r\ncontent-length: 0\r\n\r\n`;
  let received = '';
  try {
    client.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
    });
    client.write(text('q1') + text('q2'));
    while (finish.length < 2) await pause(5);
    proxy.forwarder.startDraining();
    for (const end of finish) end();
    await once(client, 'end');
    expect(received).toContain('data: q1');
    expect(received).toContain('data: q2');
  } finally {
    client.destroy();
    await proxy.stop();
  }
});
/** If the connection were merely closed, the client would not know whether its request may have run. */
test('a graceful shutdown answers requests as failed that have not ended at its limit', async () => {
  const proxy = new TestProxy();
  let resolveReached: () => void = ignore;
  const reached = new Promise<void>((done: () => void) => {
    resolveReached = done;
  });
  function hang(): void {
    resolveReached();
  }
  await proxy.start([hang]);
  try {
    const pendingResponse = proxy.request('/once/1');
    await reached;
    proxy.forwarder.startDraining();
    const closed = proxy.forwarder.close(50);
    const response = await pendingResponse;
    expect([response.status, response.isComplete]).toEqual([504, true]);
    await closed;
    expect(proxy.forwarder.size).toBe(0);
  } finally {
    await proxy.stop();
  }
});

const LARGE_EVENT_BYTES = 3 * 1024 * 1024;

function largeEvent(id: number): string {
  return `id: ${id}\ndata: ${'x'.repeat(LARGE_EVENT_BYTES)}\n\n`;
}

/** Goes on after the first event with bytes that end no event, and breaks off. */
function breakOffInLargeEvent(request: IncomingMessage, response: ServerResponse): void {
  writeStreamHead(response, request);
  response.write(event(1) + largeEvent(2).slice(0, -2), () => response.destroy());
}

// Guards against LOST (review/9): streams in which no event ends filled the memory, while their clients got one event each.
test('a stream in which no event ends reaches its client, and no other run goes on with it', () =>
  withTestProxy([breakOffInLargeEvent], async (proxy) => {
    const response = await proxy.request('/stream/1');
    expect(response.status).toBe(200);
    expect(response.isComplete).toBe(false);
    expect(response.body.startsWith(`${event(1)}id: 2\ndata: xxx`)).toBe(true);
    expect(response.body.length).toBeGreaterThan(LARGE_EVENT_BYTES / 2);
    expect(proxy.counters.get('streams.large-event.too-large')).toBe(1);
  }));

test('a response that broke off in a large event is not continued by another run', async () => {
  let runs = 0;
  function breakOffAgain(request: IncomingMessage, response: ServerResponse): void {
    runs += 1;
    breakOffInLargeEvent(request, response);
  }
  await withTestProxy([breakOffAgain, breakOffAgain], async (proxy) => {
    expect((await proxy.request('/stream/1')).isComplete).toBe(false);
    expect(runs).toBe(1);
  });
});

test('a large event that ends is forwarded whole, and another run can continue the stream after it', async () => {
  let runs = 0;
  function run(request: IncomingMessage, response: ServerResponse): void {
    runs += 1;
    const last = Number(request.headers['last-event-id'] ?? 0);
    writeStreamHead(response, request);
    if (runs === 1) {
      response.write(`${event(1)}${largeEvent(2)}id: 3\nda`, () => response.destroy());
      return;
    }
    expect(last).toBe(2);
    // It repeats what it was not asked for.
    response.end(largeEvent(2) + events(3, 4));
  }
  await withTestProxy([run, run], async (proxy) => {
    const response = await proxy.request('/stream/1');
    expect(response.isComplete).toBe(true);
    expect(response.body === event(1) + largeEvent(2) + events(3, 4)).toBe(true);
    expect(proxy.dispatcher.counts.resumed).toBe(1);
  });
});

test('another run whose large event does not show its id is not forwarded', async () => {
  let runs = 0;
  function run(request: IncomingMessage, response: ServerResponse): void {
    runs += 1;
    writeStreamHead(response, request);
    if (runs === 1) response.write(`${event(1)}id: 2`, () => response.destroy());
    else response.end(`data: ${'x'.repeat(LARGE_EVENT_BYTES)}\nid: 1\n\n`);
  }
  await withTestProxy([run, run], async (proxy) => {
    const response = await proxy.request('/stream/1');
    expect([response.body, response.isComplete]).toEqual([event(1), false]);
  });
});

const MIB = 1024 * 1024;
/** The chunks of one byte that each of the responses below consists of, and the number of these responses. */
const SINGLE_BYTE_CHUNKS = 200_000;
const SINGLE_BYTE_RESPONSES = 4;
/** Each response is less than 1 MiB, and its buffer may be twice as large. */
const MAX_SINGLE_BYTE_GROWTH_MB = 2 * SINGLE_BYTE_RESPONSES;

/** Collects garbage, and returns the memory in use, MiB. */
function usedMemoryMb(): number {
  setFlagsFromString('--expose-gc');
  runInNewContext('gc')();
  const { heapUsed, external } = process.memoryUsage();
  return (heapUsed + external) / MIB;
}

/** Waits until the memory in use no longer grows, and returns it, MiB. */
async function settledMemoryMb(): Promise<number> {
  let before = Number.NaN;
  for (let used = usedMemoryMb(); !(Math.abs(used - before) < 0.1); used = usedMemoryMb()) {
    before = used;
    await pause(200);
  }
  return before;
}

// Guards against LOST (related to review/9): a response in chunks of one byte occupied over a hundred times its length.
test('a response that is kept for a retry costs its length, and not its chunks', async () => {
  const text = Buffer.from('1\r\nx\r\n'.repeat(SINGLE_BYTE_CHUNKS), 'latin1');
  let started = 0;
  function respondInSingleBytes(socket: Socket): void {
    socket.on('error', ignore);
    socket.once('data', (head: Buffer) => {
      const id = /x-id: (\S+)/.exec(head.toString('latin1'))?.[1] ?? '';
      const lines = ['HTTP/1.1 200 OK', `x-id: ${id}`, 'transfer-encoding: chunked'];
      socket.write(`${lines.join('\r\n')}\r\n\r\n`);
      socket.write(text, () => {
        started += 1;
      });
    });
  }
  const proxy = new TestProxy();
  await proxy.start([respondInSingleBytes], true);
  proxy.agent.maxSockets = SINGLE_BYTE_RESPONSES;
  try {
    const before = usedMemoryMb();
    for (let count = 0; count < SINGLE_BYTE_RESPONSES; count += 1)
      void proxy.request('/safe/1').catch(ignore);
    while (started < SINGLE_BYTE_RESPONSES) await pause(20);
    const grownMb = (await settledMemoryMb()) - before;
    expect(grownMb).toBeLessThanOrEqual(MAX_SINGLE_BYTE_GROWTH_MB);
  } finally {
    await proxy.stop();
  }
});
