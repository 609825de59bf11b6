import { expect, test } from 'vitest';
import { compile } from '../policy/language.js';
import { call, readBytes } from '../common/call.js';
import { monotonicNow } from '../common/clock.js';
import { Counters as CountersClass } from '../common/counters.js';
import { later, type Moment } from '../common/ids.js';
import { bindServer, parseAddress } from '../common/listen.js';
import { PolicyRouter } from './policy-router.js';
import { type RequestInfo, POLICY_ROUTER_DEFAULTS } from './policy-router-types.js';
import { PolicyForwarder } from './policy-forwarder.js';
import { once } from 'node:events';
import {
  type ClientRequest,
  type IncomingMessage,
  IncomingMessage as IncomingMessageClass,
  type Server,
  type ServerResponse,
  createServer,
  request,
} from 'node:http';
import { createServer as createTcp } from 'node:net';
import { interval } from 'rxjs';

type Subscription = import('rxjs').Subscription;
const POLICY =
  'map POST /c to check\nmap GET /l/* to lookup\nmap POST /l/* to lookup\nrow check m weight 9 late 400ms once stream\nrow check w weight 9 late 400ms once whole\nrow lookup @k weight 5 late 5s repeatable';
type RunnerBehavior = (
  runnerRequest: IncomingMessage,
  runnerResponse: ServerResponse,
  count: number,
) => void;
const TICK_MS = 20;
/**
 * A clock that advances only with the proxy's ticks. Client, proxy and runners share one event loop: while the machine
 * gives it no processor time none of them can act, and such a pause must not count as an idle runner.
 */
class TickClock {
  #now = monotonicNow();
  tick(): Moment {
    this.#now = later(this.#now, TICK_MS);
    return this.#now;
  }
  now(): Moment {
    return this.#now;
  }
}
type OnRequestRouted = (router: PolicyRouter, now: Moment) => void;
/** A router that receives an update right after it has picked a runner, before the connection is established. */
class UpdatingRouter extends PolicyRouter {
  readonly #onRequestRouted: OnRequestRouted;
  constructor(onRequestRouted: OnRequestRouted) {
    super({ ...POLICY_ROUTER_DEFAULTS, freshnessBoundMs: 60_000, proxyId: 'f' });
    this.#onRequestRouted = onRequestRouted;
  }
  override onRequest(now: Moment, info: RequestInfo): void {
    super.onRequest(now, info);
    process.nextTick(this.#onRequestRouted, this, now);
  }
}
/** A proxy in front of runners with the given behaviors. */
class TestProxy {
  readonly requestedRunners: string[] = [];
  readonly counters = new CountersClass();
  readonly servers: Server[] = [];
  forwarder: PolicyForwarder | undefined;
  address = '';
  router: PolicyRouter | undefined;
  ticks: Subscription | undefined;
  onRequestRouted: OnRequestRouted | undefined;
  readonly #clock = new TickClock();

  #tick(): void {
    this.forwarder?.tick(this.#clock.tick());
  }

  async start(behaviors: readonly RunnerBehavior[], hasUnreachableRunner = false): Promise<void> {
    const runners = [];
    for (const [index, behavior] of behaviors.entries()) {
      const requestedRunners = this.requestedRunners;
      let count = 0;
      const server = createServer(
        (runnerRequest: IncomingMessage, runnerResponse: ServerResponse) => {
          requestedRunners.push(`r${index}`);
          count += 1;
          behavior(runnerRequest, runnerResponse, count);
        },
      );
      this.servers.push(server);
      const port = await bindServer(server, '127.0.0.1:0');
      runners.push(
        {
          id: `r${index}`,
          address: `127.0.0.1:${port}`,
          zone: 'z',
          service: '',
          slots: 4,
          upMs: 60_000,
        },
        {
          id: `k${index}`,
          address: `127.0.0.1:${port}`,
          zone: 'z',
          service: 'k',
          slots: 0,
          upMs: 0,
        },
      );
    }
    if (hasUnreachableRunner) {
      // A port that was just closed refuses connections.
      const closed = createTcp();
      const port = await bindServer(closed, '127.0.0.1:0');
      closed.close();
      await once(closed, 'close');
      runners.unshift({
        id: 'dead',
        address: `127.0.0.1:${port}`,
        zone: 'z',
        service: '',
        slots: 4,
        upMs: 60_000,
      });
    }
    const router = this.onRequestRouted
      ? new UpdatingRouter(this.onRequestRouted)
      : new PolicyRouter({ ...POLICY_ROUTER_DEFAULTS, freshnessBoundMs: 60_000, proxyId: 'f' });
    const now = this.#clock.now();
    router.onUpdate(
      now,
      'config',
      { epoch: 2, count: 1 },
      JSON.stringify({ number: 1, table: compile(POLICY).table, emptied: [], voters: [] }),
    );
    const seats = [];
    for (const { id, service } of runners)
      if (service === '') seats.push({ runner: id, primary: seats.length === 0, adapters: [] });
    const places = [
      { model: 'm', seats, wait: '' },
      { model: 'w', seats, wait: '' },
    ];
    router.onUpdate(
      now,
      'places',
      { epoch: 2, count: 1 },
      JSON.stringify({ places, runners, flows: 1, shares: [] }),
    );
    router.onFreshnessConfirmed(router.startFreshnessRequest(now), { epoch: 0, count: 0 }, 0);
    this.router = router;
    this.forwarder = new PolicyForwarder(
      router,
      { maxBodyBytes: 4096, connectTimeoutMs: 300, idleTimeoutMs: 200 },
      this.counters,
      () => this.#clock.now(),
    );
    this.ticks = interval(TICK_MS).subscribe(() => this.#tick());
    this.address = `127.0.0.1:${await this.forwarder.listen('127.0.0.1:0')}`;
  }

  post(model: string): ReturnType<typeof call> {
    return call('POST', this.address, '/c', JSON.stringify({ model }), 5000);
  }

  async stop(): Promise<void> {
    this.ticks?.unsubscribe();
    await this.forwarder?.stop(0);
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }
}
function withTestProxy(
  behaviors: readonly RunnerBehavior[],
  check: (proxy: TestProxy) => Promise<void>,
  hasUnreachableRunner = false,
): () => Promise<void> {
  async function run(): Promise<void> {
    const proxy = new TestProxy();
    await proxy.start(behaviors, hasUnreachableRunner);
    try {
      await check(proxy);
    } finally {
      await proxy.stop();
    }
  }
  return run;
}
function respondHello(_request: IncomingMessage, runnerResponse: ServerResponse): void {
  runnerResponse.end('hello');
}
function disconnectImmediately(runnerRequest: IncomingMessage): void {
  runnerRequest.socket.destroy();
}
function disconnectMidResponse(
  runnerRequest: IncomingMessage,
  runnerResponse: ServerResponse,
): void {
  runnerResponse.writeHead(200, { 'content-type': 'text/plain' });
  runnerResponse.write('half a');
  setImmediate(runnerRequest.socket.destroy.bind(runnerRequest.socket));
}
function respondFull(_request: IncomingMessage, runnerResponse: ServerResponse): void {
  runnerResponse.writeHead(503, { 'x-run': 'none' }).end('full');
}
function doNothing(): void {
  /* as a runner, it never responds */
}
function respondWithStatus(status: string): RunnerBehavior {
  function respond(runnerRequest: IncomingMessage): void {
    runnerRequest.socket.write(`HTTP/1.1 ${status} OK\r\ncontent-length: 2\r\n\r\nok`);
  }
  return respond;
}
async function checkNotFinal(proxy: TestProxy): Promise<void> {
  const response = await proxy.post('m');
  expect(response.status).toBe(502);
  expect(response.body).toContain('"outcome":"unsure"');
  expect(proxy.counters.get('answers.not-final')).toBe(1);
}
async function checkOnceBroken(proxy: TestProxy): Promise<void> {
  const response = await proxy.post('m');
  expect(response.status).toBe(502);
  expect(response.body).toContain('"outcome":"unsure"');
  expect(response.headers['retry-after']).toBeUndefined();
  expect(proxy.requestedRunners).toEqual(['r0']);
}
async function checkUnreachable(proxy: TestProxy): Promise<void> {
  expect((await proxy.post('m')).body).toBe('hello');
  expect(proxy.requestedRunners).toEqual(['r0']);
}
async function checkFull(proxy: TestProxy): Promise<void> {
  expect((await proxy.post('m')).body).toBe('hello');
  expect(proxy.requestedRunners).toEqual(['r0', 'r1']);
}
async function checkAllFull(proxy: TestProxy): Promise<void> {
  const response = await proxy.post('m');
  expect(response.status).toBe(503);
  expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
  expect(response.body).toContain('turned-away');
}
async function checkTruncatedStream(proxy: TestProxy): Promise<void> {
  await expect(proxy.post('m')).rejects.toThrow();
  expect(proxy.requestedRunners).toEqual(['r0']);
  expect(proxy.counters.get('streams.broken')).toBe(1);
}
async function checkRetry(proxy: TestProxy): Promise<void> {
  expect((await call('GET', proxy.address, '/l/1', undefined, 5000)).body).toBe('hello');
  expect(proxy.requestedRunners).toHaveLength(2);
  expect(proxy.counters.get('repeats')).toBe(1);
}
async function checkDeadline(proxy: TestProxy): Promise<void> {
  const response = await proxy.post('w');
  expect(response.status).toBe(504);
  expect(response.body).toContain('unsure');
}
async function checkBodies(proxy: TestProxy): Promise<void> {
  expect((await call('POST', proxy.address, '/c', '{"model":', 5000)).status).toBe(400);
  expect(
    (
      await call(
        'POST',
        proxy.address,
        '/c',
        JSON.stringify({ model: 'm', pad: 'x'.repeat(5000) }),
        5000,
      )
    ).status,
  ).toBe(413);
  expect((await call('POST', proxy.address, '/none', '{}', 5000)).status).toBe(404);
  expect((await proxy.post('other')).status).toBe(404);
  expect(proxy.requestedRunners).toEqual([]);
}
/** The runner closes its kept-alive connection just as the next request is written to it. */
function disconnectOnSecondRequest(
  runnerRequest: IncomingMessage,
  runnerResponse: ServerResponse,
  count: number,
): void {
  if (count === 1) runnerResponse.end('hello');
  else if (count === 2) runnerRequest.socket.destroy();
  else runnerResponse.end('hello');
}
async function checkNoStaleConnection(proxy: TestProxy): Promise<void> {
  expect((await proxy.post('m')).body).toBe('hello');
  // A request that may run once is never sent on a kept-alive connection: a disconnect always leaves its outcome unknown,
  // and it is sent only once.
  expect((await proxy.post('m')).status).toBe(502);
  expect(proxy.requestedRunners).toEqual(['r0', 'r0']);
}
/** Sends a request as a client that receives the head of its response and reads no further. */
async function beginRequest(address: string): Promise<ClientRequest> {
  const { host, port } = parseAddress(address);
  const sent = request({ host, port, method: 'POST', path: '/c' });
  sent.on('error', doNothing);
  sent.end(JSON.stringify({ model: 'm' }));
  const [response]: unknown[] = await once(sent, 'response');
  if (response instanceof Object && 'on' in response && typeof response.on === 'function')
    response.on('error', doNothing);
  return sent;
}
function drainFirstRunner(router: PolicyRouter, now: Moment): void {
  router.onUpdate(
    now,
    'machines',
    { epoch: 0, count: 5 },
    JSON.stringify({
      revision: 5,
      machines: [{ id: 'r0', address: 'r0:1', zone: 'z', service: '', leaving: true }],
    }),
  );
}
function stallMidResponse(_request: IncomingMessage, runnerResponse: ServerResponse): void {
  runnerResponse.writeHead(200);
  runnerResponse.write('half a');
}
async function checkStalled(proxy: TestProxy): Promise<void> {
  await expect(proxy.post('m')).rejects.toThrow();
  expect(proxy.router?.running).toBe(0);
  expect(proxy.counters.get('returns.silent')).toBe(1);
}
/** The response has neither a length nor chunked coding: nothing shows whether it is complete. */
function respondWithoutLength(runnerRequest: IncomingMessage): void {
  runnerRequest.socket.end('HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nhalf a');
}
async function checkWithoutLength(proxy: TestProxy): Promise<void> {
  await expect(proxy.post('m')).rejects.toThrow();
  expect(proxy.requestedRunners).toEqual(['r0']);
}
function respondWithTwoLengths(runnerRequest: IncomingMessage): void {
  runnerRequest.socket.end(
    'HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n',
  );
}
async function checkTwoLengths(proxy: TestProxy): Promise<void> {
  expect((await proxy.post('m')).body).toContain('unsure');
}
async function sendRaw(
  proxy: TestProxy,
  method: string,
  path: string,
  body?: Buffer,
): Promise<{ readonly response: IncomingMessage; readonly body: Buffer }> {
  const { host, port } = parseAddress(proxy.address);
  const sent = request({ host, port, method, path, agent: false });
  sent.end(body);
  const [response]: unknown[] = await once(sent, 'response');
  if (!(response instanceof IncomingMessageClass)) throw new Error('no response');
  return { response, body: await readBytes(response, 1 << 20) };
}
function echo(runnerRequest: IncomingMessage, runnerResponse: ServerResponse): void {
  runnerResponse.writeHead(200, { 'set-cookie': ['a=1', 'b=2'], trailer: 'x-sum' });
  runnerRequest.on('data', runnerResponse.write.bind(runnerResponse));
  runnerRequest.on('end', () => {
    runnerResponse.addTrailers({ 'x-sum': '7' });
    runnerResponse.end();
  });
}
async function checkBytes(proxy: TestProxy): Promise<void> {
  const bytes = Buffer.from([0xff, 0xfe, 0x00, 0x80, 0x41, 0xc3]);
  const { response, body } = await sendRaw(proxy, 'POST', '/l/1', bytes);
  expect(body.equals(bytes)).toBe(true);
  expect(response.headers['set-cookie']).toEqual(['a=1', 'b=2']);
  expect(response.trailers['x-sum']).toBe('7');
}
function respondByMethod(runnerRequest: IncomingMessage, runnerResponse: ServerResponse): void {
  if (runnerRequest.method === 'HEAD')
    runnerResponse.writeHead(200, { 'content-length': '1234' }).end();
  else runnerResponse.writeHead(runnerRequest.url === '/l/204' ? 204 : 304, { etag: 'x' }).end();
}
async function checkBodiless(proxy: TestProxy): Promise<void> {
  const head = await sendRaw(proxy, 'HEAD', '/l/1');
  expect([head.response.statusCode, head.response.headers['content-length']]).toEqual([
    200,
    '1234',
  ]);
  expect((await sendRaw(proxy, 'GET', '/l/204')).response.statusCode).toBe(204);
  expect((await sendRaw(proxy, 'GET', '/l/304')).response.statusCode).toBe(304);
}
/** The runner responds before it has read the body. */
function respondBeforeBody(_request: IncomingMessage, runnerResponse: ServerResponse): void {
  runnerResponse.writeHead(413, { connection: 'close' }).end('too much');
}
async function checkEarlyResponse(proxy: TestProxy): Promise<void> {
  const { response, body } = await sendRaw(proxy, 'POST', '/l/1', Buffer.alloc(4000, 7));
  expect([response.statusCode, body.toString()]).toEqual([413, 'too much']);
}
async function checkStaleConnection(proxy: TestProxy): Promise<void> {
  expect((await call('GET', proxy.address, '/l/1', undefined, 5000)).body).toBe('hello');
  // The only back end closed an idle connection just as it was written to: that is not a failure of the back end.
  expect((await call('GET', proxy.address, '/l/1', undefined, 5000)).body).toBe('hello');
  expect(proxy.counters.get('runs.stale')).toBe(1);
}
test('a runner that starts draining between pick and first byte receives nothing', async () => {
  const proxy = new TestProxy();
  proxy.onRequestRouted = drainFirstRunner;
  await proxy.start([respondHello, respondHello]);
  expect((await proxy.post('m')).body).toBe('hello');
  expect(proxy.requestedRunners).toEqual(['r1']);
  await proxy.stop();
});
test(
  'a response that stalls is aborted and its slot is free again',
  withTestProxy([stallMidResponse], checkStalled),
);
test(
  'a response without length or chunked coding never looks complete',
  withTestProxy([respondWithoutLength, respondHello], checkWithoutLength),
);
test(
  'a response with both length and chunked coding is invalid',
  withTestProxy([respondWithTwoLengths], checkTwoLengths),
);
test(
  'bodies, repeated headers and trailers are forwarded unchanged',
  withTestProxy([echo], checkBytes),
);
test(
  'responses to HEAD and responses with status 204 or 304 are forwarded unchanged',
  withTestProxy([respondByMethod], checkBodiless),
);
test(
  'a response that starts before the runner has read the body is forwarded',
  withTestProxy([respondBeforeBody], checkEarlyResponse),
);
// Guards against LOST (review/2) and MIXED (review/10) under the policy table: a status outside of 200 to 999 is no answer.
for (const status of ['020', '099', '101'])
  test(
    `a response with status ${status} has an unknown outcome, and the proxy lives on`,
    withTestProxy([respondWithStatus(status)], checkNotFinal),
  );
test(
  'a stale idle connection does not exclude its back end',
  withTestProxy([disconnectOnSecondRequest], checkStaleConnection),
);
test(
  'a request that may run once has an unknown outcome if its runner disconnects, and is not retried',
  withTestProxy([disconnectImmediately, respondHello], checkOnceBroken),
);
test(
  'a request whose runner is unreachable runs at the next runner',
  withTestProxy([respondHello], checkUnreachable, true),
);
test(
  'a request that its runner has not started runs at the next runner',
  withTestProxy([respondFull, respondHello], checkFull),
);
test(
  'if all runners are full, the client is told when to retry',
  withTestProxy([respondFull, respondFull], checkAllFull),
);
test(
  'a stream whose runner disconnects is visibly truncated and not continued by another run',
  withTestProxy([disconnectMidResponse, respondHello], checkTruncatedStream),
);
test(
  'a repeatable request is retried at another runner within its budget',
  withTestProxy([disconnectImmediately, respondHello], checkRetry),
);
test(
  'a run that passes its deadline is reported with an unknown outcome',
  withTestProxy([doNothing], checkDeadline),
);
test(
  'bad bodies and unknown names never reach a runner',
  withTestProxy([respondHello], checkBodies),
);
test(
  'a request that may run once is neither retried nor falsely rejected because of a stale connection',
  withTestProxy([disconnectOnSecondRequest], checkNoStaleConnection),
);
test('the run of a client that disconnects is canceled', async () => {
  const proxy = new TestProxy();
  const events: string[] = [];
  let resolveCanceled: () => void = doNothing;
  const canceled = new Promise<void>((done: () => void) => {
    resolveCanceled = done;
  });
  function watch(runnerRequest: IncomingMessage, runnerResponse: ServerResponse): void {
    runnerResponse.writeHead(200);
    runnerResponse.write('begin');
    runnerResponse.once('close', note);
    runnerRequest.resume();
  }
  function note(): void {
    events.push('cancelled');
    resolveCanceled();
  }
  await proxy.start([watch]);
  const sent = await beginRequest(proxy.address);
  sent.destroy();
  await canceled;
  expect(events).toEqual(['cancelled']);
  await proxy.stop();
});
test('a slow client slows its runner down instead of filling the memory of the proxy', async () => {
  const proxy = new TestProxy();
  let produced = 0;
  const LIMIT = 64 * 1024 * 1024;
  function pour(_request: IncomingMessage, runnerResponse: ServerResponse): void {
    const chunk = Buffer.alloc(64 * 1024);
    function more(): void {
      while (produced < LIMIT) {
        produced += chunk.length;
        if (!runnerResponse.write(chunk)) {
          runnerResponse.once('drain', more);
          return;
        }
      }
    }
    more();
  }
  await proxy.start([pour]);
  const sent = await beginRequest(proxy.address);
  // The client reads nothing: backpressure must stop the runner long before it has written everything.
  let before = -1;
  for (let calm = 0; calm < 2000; calm = produced === before ? calm + 1 : 0) {
    before = produced;
    await new Promise(setImmediate);
  }
  expect(produced).toBeLessThan(LIMIT / 2);
  sent.destroy();
  await proxy.stop();
});
