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
import { expect, test } from 'vitest';
import { Counters } from '../common/counters.js';
import { monotonicNow } from '../common/clock.js';
import type { FleetRunner } from '../placement/fleet.js';
import type { Route, Routing } from '../route/routing.js';
import { Dispatcher, type ResponseStatus, type RejectReason } from './dispatcher.js';
import { Forwarder } from './forwarder.js';
import type { RequestDialect, RequestAnnotations, RunnerAnnotations } from './request-dialect.js';

/** A dialect of the test's own: x-id, x-target, x-not-run, x-seal. */
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

  annotateRunnerRequest(headers: OutgoingHttpHeaders, said: RunnerAnnotations): void {
    headers['x-target'] = said.runner;
    if (said.lastEventId !== undefined) headers['last-event-id'] = String(said.lastEventId);
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
function nothing(): void {
  /* no agent beside us */
}

async function listen(server: Server | TcpServer): Promise<string> {
  await new Promise<void>((done: () => void) => {
    server.listen(0, '127.0.0.1', done);
  });
  const bound = server.address();
  return `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : 0}`;
}

interface Answer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  readonly isWhole: boolean;
}
class Bench {
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
    nothing,
  );
  readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });
  readonly servers: (Server | TcpServer)[] = [];
  readonly seen: string[] = [];
  #address = '';
  #count = 0;
  #ticks: NodeJS.Timeout | undefined;

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
    this.#ticks = setInterval(() => this.forwarder.tick(), 20);
  }

  async stop(): Promise<void> {
    clearInterval(this.#ticks);
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

  ask(path: string, headers: OutgoingHttpHeaders = {}, body = 'hello'): Promise<Answer> {
    this.#count += 1;
    const [host, port] = this.#address.split(':');
    const sent = request({
      host,
      port: Number(port),
      method: 'POST',
      path,
      agent: this.agent,
      headers: { host: 'h', 'x-id': `q${this.#count}`, 'content-length': body.length, ...headers },
    });
    const answer = new Promise<Answer>(
      (done: (answer: Answer) => void, fail: (thrown: unknown) => void) => {
        sent.once('response', (back: IncomingMessage) => {
          const chunks: Buffer[] = [];
          back.on('data', (chunk: Buffer) => {
            chunks.push(chunk);
          });
          back.on('error', nothing);
          back.once('close', () => {
            done({
              status: back.statusCode ?? 0,
              headers: back.headers,
              body: Buffer.concat(chunks).toString(),
              isWhole: back.complete,
            });
          });
        });
        sent.once('error', fail);
      },
    );
    sent.end(body);
    return answer;
  }
}

function idOf(asked: IncomingMessage): string {
  const id = asked.headers['x-id'];
  return typeof id === 'string' ? id : '';
}
function event(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}
function sse(answer: ServerResponse, asked: IncomingMessage): void {
  answer.writeHead(200, {
    'content-type': 'text/event-stream',
    'x-id': idOf(asked),
    'x-seal': 'first',
  });
}
function events(from: number, to: number): string {
  let text = '';
  for (let id = from; id <= to; id += 1) text += event(id);
  return text;
}

async function withBench(
  runners: readonly RequestListener[],
  run: (bench: Bench) => Promise<void>,
): Promise<void> {
  const bench = new Bench();
  await bench.start(runners);
  try {
    await run(bench);
  } finally {
    await bench.stop();
  }
}

/** Passes three events and part of the fourth, then breaks off. */
function breakInMidst(asked: IncomingMessage, answer: ServerResponse): void {
  sse(answer, asked);
  answer.write(events(1, 3) + 'id: 4\nda', () => {
    answer.destroy();
  });
}
function goOn(asked: IncomingMessage, answer: ServerResponse): void {
  const from = Number(asked.headers['last-event-id'] ?? 0) + 1;
  sse(answer, asked);
  answer.end(events(from, 6));
}
function cutAtOnce(asked: IncomingMessage): void {
  asked.socket.destroy();
}
function sayWhole(asked: IncomingMessage, answer: ServerResponse): void {
  answer.writeHead(200, { 'x-id': idOf(asked), 'x-seal': 's', 'content-length': 5 }).end('whole');
}
function sayHalf(asked: IncomingMessage, answer: ServerResponse): void {
  answer.writeHead(200, { 'x-id': idOf(asked), 'content-length': 10 });
  answer.write('whol', () => {
    answer.destroy();
  });
}
function sayOther(_asked: IncomingMessage, answer: ServerResponse): void {
  answer.writeHead(200, { 'x-id': 'somebody-else', 'content-length': 5 }).end('other');
}
function beFull(asked: IncomingMessage, answer: ServerResponse): void {
  answer.writeHead(503, { 'x-id': idOf(asked), 'x-not-run': '1', 'content-length': 0 }).end();
}
function sayUnbounded(asked: IncomingMessage, answer: ServerResponse): void {
  asked.resume();
  answer.socket?.end(`HTTP/1.1 200 OK\r\nx-id: ${idOf(asked)}\r\nconnection: close\r\n\r\nhello`);
}

async function checkStream(bench: Bench): Promise<void> {
  const answer = await bench.ask('/stream/1');
  expect([answer.status, answer.body, answer.isWhole, answer.headers['x-seal']]).toEqual([
    200,
    events(1, 6),
    true,
    'first',
  ]);
}
async function checkResume(bench: Bench): Promise<void> {
  const answer = await bench.ask('/stream/1');
  expect([answer.body, answer.isWhole]).toEqual([events(1, 6), true]);
  expect(bench.dispatcher.counts.resumed).toBe(1);
}
function failHard(asked: IncomingMessage, answer: ServerResponse): void {
  answer.writeHead(500, { 'x-id': idOf(asked), 'content-length': 4 }).end('oops');
}
/** A failure whose length is told, of which a part comes before the runner breaks off. */
function breakFailure(status: number, contentType: string, part: string): RequestListener {
  return (asked, answer) => {
    asked.resume();
    answer.writeHead(status, {
      'x-id': idOf(asked),
      'content-type': contentType,
      'content-length': part.length + 200,
    });
    answer.write(part, () => {
      answer.destroy();
    });
  };
}
/** The client sees a broken answer, and the next one on its connections is its own. */
async function expectBroken(bench: Bench, status: number, part: string): Promise<void> {
  const answer = await bench.ask('/stream/1');
  expect([answer.status, answer.body, answer.isWhole]).toEqual([status, part, false]);
  expect(bench.dispatcher.counts.resumed).toBe(0);
  bench.dispatcher.onDrainingRunners(monotonicNow(), ['r0']);
  const next = await bench.ask('/stream/1');
  expect([next.status, next.body, next.isWhole]).toEqual([200, events(1, 6), true]);
}
/** An event stream of a success that is not the one that the client has begun to get. */
function sayOtherStatus(asked: IncomingMessage, answer: ServerResponse): void {
  answer.writeHead(206, { 'content-type': 'text/event-stream', 'x-id': idOf(asked) });
  answer.end(events(4, 6));
}
function sayPlain(asked: IncomingMessage, answer: ServerResponse): void {
  answer.writeHead(200, { 'x-id': idOf(asked), 'content-length': 5 }).end('whole');
}
async function checkVain(bench: Bench): Promise<void> {
  const answer = await bench.ask('/stream/1');
  expect([answer.body, answer.isWhole]).toEqual([events(1, 3), false]);
  // And the proxy goes on.
  expect((await bench.ask('/nowhere/1')).status).toBe(503);
}
async function checkHeadSize(bench: Bench): Promise<void> {
  bench.forwarder.applyLimits();
  expect((await bench.ask('/safe/1', { 'x-large': 'x'.repeat(20_000) })).status).toBe(431);
}
async function checkClientResumes(bench: Bench): Promise<void> {
  const answer = await bench.ask('/stream/1', { 'last-event-id': '4' });
  expect([answer.body, answer.isWhole]).toEqual([events(5, 6), true]);
}
async function checkOnceBroken(bench: Bench): Promise<void> {
  const answer = await bench.ask('/once/1');
  expect([answer.status, answer.body, answer.isWhole]).toEqual([200, events(1, 3), false]);
}
async function checkOnceCut(bench: Bench): Promise<void> {
  expect((await bench.ask('/once/1')).status).toBe(502);
  expect((await bench.ask('/unsafe/1')).status).toBe(502);
}
async function checkSafe(bench: Bench): Promise<void> {
  const answer = await bench.ask('/safe/1');
  expect([answer.status, answer.body, answer.isWhole]).toEqual([200, 'whole', true]);
}
async function checkOther(bench: Bench): Promise<void> {
  expect((await bench.ask('/unsafe/1')).status).toBe(502);
  expect((await bench.ask('/safe/1')).body).toBe('whole');
}
async function checkFull(bench: Bench): Promise<void> {
  const answer = await bench.ask('/unsafe/1');
  expect([answer.status, answer.headers['retry-after']]).toEqual([503, '0.25']);
}
async function checkUnbounded(bench: Bench): Promise<void> {
  expect((await bench.ask('/unsafe/1')).status).toBe(502);
}
async function checkSizes(bench: Bench): Promise<void> {
  expect((await bench.ask('/safe/1', {}, 'x'.repeat(1001))).status).toBe(413);
}
async function checkHeaders(bench: Bench): Promise<void> {
  const answer = await bench.ask('/safe/1?x=1', {
    'x-more': 'kept',
    connection: 'keep-alive, x-hop',
    'x-hop': 'dropped',
  });
  const { url, headers } = JSON.parse(answer.body);
  expect([url, headers['x-more'], headers['x-hop'], headers['host'], headers['x-target']]).toEqual([
    '/safe/1?x=1',
    'kept',
    undefined,
    'h',
    'r0',
  ]);
}
function echoHead(asked: IncomingMessage, answer: ServerResponse): void {
  const body = JSON.stringify({ url: asked.url, headers: asked.headers });
  answer.writeHead(200, { 'x-id': idOf(asked), 'content-length': body.length }).end(body);
}

test('a stream comes through whole, with the head of its runner', () =>
  withBench([goOn], checkStream));
test('a stream that breaks goes on at another runner inside the same answer', () =>
  withBench([breakInMidst, goOn], checkResume));
test('a stream that breaks and finds only failures is seen to be broken', () =>
  withBench([breakInMidst, failHard], checkVain));
// Guards against MIXED: the rest of a failure that breaks off must not come from another run's stream.
test('a failure that breaks off on a resumable route is not continued by another run', async () => {
  const json = '{"error":"';
  await withBench([breakFailure(404, 'application/json', json), goOn], (bench) =>
    expectBroken(bench, 404, json),
  );
  // A failure may come as events as well: it is none of the run that would follow.
  await withBench([breakFailure(404, 'text/event-stream', events(1, 2)), goOn], (bench) =>
    expectBroken(bench, 404, events(1, 2)),
  );
});
test('a success that is no event stream is not continued by one when it breaks off', () =>
  withBench([breakFailure(200, 'text/plain', 'half'), goOn], (bench) =>
    expectBroken(bench, 200, 'half'),
  ));
test('a stream is continued only by an event stream of the same status', async () => {
  await withBench([breakInMidst, sayPlain], checkVain);
  await withBench([breakInMidst, sayOtherStatus], checkVain);
});
test('heads larger than operators allow are turned down', () =>
  withBench([sayWhole], checkHeadSize));
test('a client goes on after the last event it has', () => withBench([goOn], checkClientResumes));
test('a stream that may run once is seen to be broken, at a whole event', () =>
  withBench([breakInMidst, goOn], checkOnceBroken));
test('what may run once and broke is told as unsure, not as refused', () =>
  withBench([cutAtOnce, cutAtOnce], checkOnceCut));
test('a safe answer that breaks off is asked for again', () =>
  withBench([sayHalf, sayWhole], checkSafe));
test('an answer to somebody else is never passed on', () =>
  withBench([sayOther, sayWhole], checkOther));
test('a full service is refused with when to come back', () =>
  withBench([beFull, beFull], checkFull));
test('an answer that does not tell its end is not passed on as whole', () =>
  withBench([sayUnbounded], checkUnbounded));
test('too large a body is turned down', () => withBench([sayWhole], checkSizes));
test('heads are passed on but for what concerns one connection', () =>
  withBench([echoHead], checkHeaders));
/** Answers the first request twice; the surplus lies in the way of the next one on that connection. */
test('a second answer on a kept connection reaches nobody', async () => {
  const bench = new Bench();
  function talk(socket: Socket): void {
    let count = 0;
    socket.on('data', (chunk: Buffer) => {
      const id = /x-id: (\S+)/i.exec(chunk.toString())?.[1] ?? '';
      count += 1;
      const text = `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: ${id.length}\r\n\r\n${id}`;
      socket.write(count === 1 ? text + text : text);
    });
    socket.on('error', nothing);
  }
  await bench.start([talk, talk], true);
  try {
    for (let index = 1; index <= 4; index += 1) {
      const answer = await bench.ask('/safe/1');
      if (answer.status === 200) expect(answer.body).toBe(`q${index}`);
    }
  } finally {
    await bench.stop();
  }
});
test('a client that leaves cancels its run', async () => {
  const bench = new Bench();
  let left: () => void = nothing;
  const isLeft = new Promise<void>((done: () => void) => {
    left = done;
  });
  function hang(asked: IncomingMessage, answer: ServerResponse): void {
    sse(answer, asked);
    answer.write(event(1));
    answer.once('close', left);
  }
  await bench.start([hang]);
  const [host, port] = bench.address.split(':');
  const socket = connect(Number(port), host);
  socket.write('POST /stream/1 HTTP/1.1\r\nhost: h\r\nx-id: q\r\ncontent-length: 0\r\n\r\n');
  socket.once('data', () => {
    socket.destroy();
  });
  await isLeft;
  await bench.stop();
  expect(bench.dispatcher.inFlight).toBe(0);
});
test('a planned stop lets what runs end and asks clients to go elsewhere', async () => {
  const bench = new Bench();
  let finish: () => void = nothing;
  function slow(asked: IncomingMessage, answer: ServerResponse): void {
    sse(answer, asked);
    answer.write(event(1));
    function end(): void {
      answer.end(event(2));
    }
    finish = end;
    if (stopAt) stopAt();
  }
  let stopAt: (() => void) | undefined;
  const isRunning = new Promise<void>((done: () => void) => {
    stopAt = done;
  });
  await bench.start([slow]);
  const asked = bench.ask('/stream/1');
  await isRunning;
  bench.forwarder.startDraining();
  const closed = bench.forwarder.close(5000);
  finish();
  const answer = await asked;
  expect([answer.body, answer.isWhole]).toEqual([events(1, 2), true]);
  await closed;
  await bench.stop();
});
/** What a runner never answers is told as failed; a closed connection would tell its client nothing. */
test('a planned stop answers what has not ended at its limit', async () => {
  const bench = new Bench();
  let reached: () => void = nothing;
  const isReached = new Promise<void>((done: () => void) => {
    reached = done;
  });
  function hang(): void {
    reached();
  }
  await bench.start([hang]);
  try {
    const asked = bench.ask('/once/1');
    await isReached;
    bench.forwarder.startDraining();
    const closed = bench.forwarder.close(50);
    const answer = await asked;
    expect([answer.status, answer.isWhole]).toEqual([504, true]);
    await closed;
    expect(bench.forwarder.size).toBe(0);
  } finally {
    await bench.stop();
  }
});
