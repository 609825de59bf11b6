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
const TEXT =
  'map POST /c to check\nmap GET /l/* to lookup\nmap POST /l/* to lookup\nrow check m weight 9 late 400ms once stream\nrow check w weight 9 late 400ms once whole\nrow lookup @k weight 5 late 5s repeatable';
type Behave = (asked: IncomingMessage, returned: ServerResponse, count: number) => void;
const TICK_MS = 20;
/**
 * A clock that moves on by the bench's ticks alone. Client, proxy and back ends share one event loop: while the machine
 * leaves that no processor none of them can move, and such a span must not pass for a back end's silence.
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
type OnGate = (decision: PolicyRouter, now: Moment) => void;
/** News comes in just after a request was drawn, before its connection stands. */
class MarkingDecision extends PolicyRouter {
  readonly #onGate: OnGate;
  constructor(onGate: OnGate) {
    super({ ...POLICY_ROUTER_DEFAULTS, freshnessBoundMs: 60_000, me: 'f' });
    this.#onGate = onGate;
  }
  override onRequest(now: Moment, asked: RequestInfo): void {
    super.onRequest(now, asked);
    process.nextTick(this.#onGate, this, now);
  }
}
/** A proxy before two back ends that behave as told. */
class Bench {
  readonly seen: string[] = [];
  readonly counters = new CountersClass();
  readonly servers: Server[] = [];
  executor: PolicyForwarder | undefined;
  address = '';
  decision: PolicyRouter | undefined;
  ticks: Subscription | undefined;
  onGate: OnGate | undefined;
  readonly #clock = new TickClock();

  #tick(): void {
    this.executor?.tick(this.#clock.tick());
  }

  async start(behaves: readonly Behave[], hasDead = false): Promise<void> {
    const runners = [];
    for (const [index, behave] of behaves.entries()) {
      const seen = this.seen;
      let count = 0;
      const server = createServer((asked: IncomingMessage, returned: ServerResponse) => {
        seen.push(`r${index}`);
        count += 1;
        behave(asked, returned, count);
      });
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
    if (hasDead) {
      // A port that was just closed: nobody is reached there.
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
    const decision = this.onGate
      ? new MarkingDecision(this.onGate)
      : new PolicyRouter({ ...POLICY_ROUTER_DEFAULTS, freshnessBoundMs: 60_000, me: 'f' });
    const now = this.#clock.now();
    decision.onUpdate(
      now,
      'config',
      { epoch: 2, count: 1 },
      JSON.stringify({ number: 1, table: compile(TEXT).table, emptied: [], voters: [] }),
    );
    const seats = [];
    for (const { id, service } of runners)
      if (service === '') seats.push({ runner: id, primary: seats.length === 0, adapters: [] });
    const places = [
      { model: 'm', seats, wait: '' },
      { model: 'w', seats, wait: '' },
    ];
    decision.onUpdate(
      now,
      'places',
      { epoch: 2, count: 1 },
      JSON.stringify({ places, runners, flows: 1, shares: [] }),
    );
    decision.onFreshnessConfirmed(decision.startFreshnessRequest(now), { epoch: 0, count: 0 }, 0);
    this.decision = decision;
    this.executor = new PolicyForwarder(
      decision,
      { maxBodyBytes: 4096, connectTimeoutMs: 300, idleTimeoutMs: 200 },
      this.counters,
      () => this.#clock.now(),
    );
    this.ticks = interval(TICK_MS).subscribe(() => this.#tick());
    this.address = `127.0.0.1:${await this.executor.listen('127.0.0.1:0')}`;
  }

  post(model: string): ReturnType<typeof call> {
    return call('POST', this.address, '/c', JSON.stringify({ model }), 5000);
  }

  async stop(): Promise<void> {
    this.ticks?.unsubscribe();
    await this.executor?.stop(0);
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }
}
function withBench(
  behaves: readonly Behave[],
  check: (bench: Bench) => Promise<void>,
  hasDead = false,
): () => Promise<void> {
  async function run(): Promise<void> {
    const bench = new Bench();
    await bench.start(behaves, hasDead);
    try {
      await check(bench);
    } finally {
      await bench.stop();
    }
  }
  return run;
}
function sayHello(_asked: IncomingMessage, returned: ServerResponse): void {
  returned.end('hello');
}
function cutAtOnce(asked: IncomingMessage): void {
  asked.socket.destroy();
}
function cutInMidst(asked: IncomingMessage, returned: ServerResponse): void {
  returned.writeHead(200, { 'content-type': 'text/plain' });
  returned.write('half a');
  setImmediate(asked.socket.destroy.bind(asked.socket));
}
function beFull(_asked: IncomingMessage, returned: ServerResponse): void {
  returned.writeHead(503, { 'x-run': 'none' }).end('full');
}
function saySilent(): void {
  /* it never returns anything */
}
async function checkOnceBroken(bench: Bench): Promise<void> {
  const returned = await bench.post('m');
  expect(returned.status).toBe(502);
  expect(returned.body).toContain('"outcome":"unsure"');
  expect(returned.headers['retry-after']).toBeUndefined();
  expect(bench.seen).toEqual(['r0']);
}
async function checkUnreached(bench: Bench): Promise<void> {
  expect((await bench.post('m')).body).toBe('hello');
  expect(bench.seen).toEqual(['r0']);
}
async function checkFull(bench: Bench): Promise<void> {
  expect((await bench.post('m')).body).toBe('hello');
  expect(bench.seen).toEqual(['r0', 'r1']);
}
async function checkAllFull(bench: Bench): Promise<void> {
  const returned = await bench.post('m');
  expect(returned.status).toBe(503);
  expect(Number(returned.headers['retry-after'])).toBeGreaterThan(0);
  expect(returned.body).toContain('turned-away');
}
async function checkBrokenStream(bench: Bench): Promise<void> {
  await expect(bench.post('m')).rejects.toThrow();
  expect(bench.seen).toEqual(['r0']);
  expect(bench.counters.get('streams.broken')).toBe(1);
}
async function checkRepeat(bench: Bench): Promise<void> {
  expect((await call('GET', bench.address, '/l/1', undefined, 5000)).body).toBe('hello');
  expect(bench.seen).toHaveLength(2);
  expect(bench.counters.get('repeats')).toBe(1);
}
async function checkLate(bench: Bench): Promise<void> {
  const returned = await bench.post('w');
  expect(returned.status).toBe(504);
  expect(returned.body).toContain('unsure');
}
async function checkBodies(bench: Bench): Promise<void> {
  expect((await call('POST', bench.address, '/c', '{"model":', 5000)).status).toBe(400);
  expect(
    (
      await call(
        'POST',
        bench.address,
        '/c',
        JSON.stringify({ model: 'm', pad: 'x'.repeat(5000) }),
        5000,
      )
    ).status,
  ).toBe(413);
  expect((await call('POST', bench.address, '/none', '{}', 5000)).status).toBe(404);
  expect((await bench.post('other')).status).toBe(404);
  expect(bench.seen).toEqual([]);
}
/** The back end closes its kept-alive connection just as the next request is on its way there. */
function closeAfterFirst(asked: IncomingMessage, returned: ServerResponse, count: number): void {
  if (count === 1) returned.end('hello');
  else if (count === 2) asked.socket.destroy();
  else returned.end('hello');
}
async function checkStale(bench: Bench): Promise<void> {
  expect((await bench.post('m')).body).toBe('hello');
  // A once-only request is never sent on a kept connection, so a break is always told as unsure, and it is sent once.
  expect((await bench.post('m')).status).toBe(502);
  expect(bench.seen).toEqual(['r0', 'r0']);
}
/** A client that has its return's head and reads no further. */
async function beginRequest(address: string): Promise<ClientRequest> {
  const { host, port } = parseAddress(address);
  const sent = request({ host, port, method: 'POST', path: '/c' });
  sent.on('error', saySilent);
  sent.end(JSON.stringify({ model: 'm' }));
  const [back]: unknown[] = await once(sent, 'response');
  if (back instanceof Object && 'on' in back && typeof back.on === 'function')
    back.on('error', saySilent);
  return sent;
}
function markFirst(decision: PolicyRouter, now: Moment): void {
  decision.onUpdate(
    now,
    'machines',
    { epoch: 0, count: 5 },
    JSON.stringify({
      revision: 5,
      machines: [{ id: 'r0', address: 'r0:1', zone: 'z', service: '', leaving: true }],
    }),
  );
}
function goSilent(_asked: IncomingMessage, returned: ServerResponse): void {
  returned.writeHead(200);
  returned.write('half a');
}
async function checkSilent(bench: Bench): Promise<void> {
  await expect(bench.post('m')).rejects.toThrow();
  expect(bench.decision?.running).toBe(0);
  expect(bench.counters.get('returns.silent')).toBe(1);
}
/** Its return has neither length nor chunks: whether it is whole can be told from nothing. */
function sayUnbounded(asked: IncomingMessage): void {
  asked.socket.end('HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nhalf a');
}
async function checkUnbounded(bench: Bench): Promise<void> {
  await expect(bench.post('m')).rejects.toThrow();
  expect(bench.seen).toEqual(['r0']);
}
function sayTwoEnds(asked: IncomingMessage): void {
  asked.socket.end(
    'HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n',
  );
}
async function checkTwoEnds(bench: Bench): Promise<void> {
  expect((await bench.post('m')).body).toContain('unsure');
}
async function sendRaw(
  bench: Bench,
  method: string,
  path: string,
  body?: Buffer,
): Promise<{ readonly back: IncomingMessage; readonly body: Buffer }> {
  const { host, port } = parseAddress(bench.address);
  const sent = request({ host, port, method, path, agent: false });
  sent.end(body);
  const [back]: unknown[] = await once(sent, 'response');
  if (!(back instanceof IncomingMessageClass)) throw new Error('no return');
  return { back, body: await readBytes(back, 1 << 20) };
}
function echo(asked: IncomingMessage, returned: ServerResponse): void {
  returned.writeHead(200, { 'set-cookie': ['a=1', 'b=2'], trailer: 'x-sum' });
  asked.on('data', returned.write.bind(returned));
  asked.on('end', () => {
    returned.addTrailers({ 'x-sum': '7' });
    returned.end();
  });
}
async function checkBytes(bench: Bench): Promise<void> {
  const bytes = Buffer.from([0xff, 0xfe, 0x00, 0x80, 0x41, 0xc3]);
  const { back, body } = await sendRaw(bench, 'POST', '/l/1', bytes);
  expect(body.equals(bytes)).toBe(true);
  expect(back.headers['set-cookie']).toEqual(['a=1', 'b=2']);
  expect(back.trailers['x-sum']).toBe('7');
}
function sayByMethod(asked: IncomingMessage, returned: ServerResponse): void {
  if (asked.method === 'HEAD') returned.writeHead(200, { 'content-length': '1234' }).end();
  else returned.writeHead(asked.url === '/l/204' ? 204 : 304, { etag: 'x' }).end();
}
async function checkBodiless(bench: Bench): Promise<void> {
  const head = await sendRaw(bench, 'HEAD', '/l/1');
  expect([head.back.statusCode, head.back.headers['content-length']]).toEqual([200, '1234']);
  expect((await sendRaw(bench, 'GET', '/l/204')).back.statusCode).toBe(204);
  expect((await sendRaw(bench, 'GET', '/l/304')).back.statusCode).toBe(304);
}
/** It returns before it has read the body. */
function sayEarly(_asked: IncomingMessage, returned: ServerResponse): void {
  returned.writeHead(413, { connection: 'close' }).end('too much');
}
async function checkEarly(bench: Bench): Promise<void> {
  const { back, body } = await sendRaw(bench, 'POST', '/l/1', Buffer.alloc(4000, 7));
  expect([back.statusCode, body.toString()]).toEqual([413, 'too much']);
}
async function checkStaleKept(bench: Bench): Promise<void> {
  expect((await call('GET', bench.address, '/l/1', undefined, 5000)).body).toBe('hello');
  // The only back end closed its kept connection just as it was written to: that is no break of its own.
  expect((await call('GET', bench.address, '/l/1', undefined, 5000)).body).toBe('hello');
  expect(bench.counters.get('runs.stale')).toBe(1);
}
test('a runner marked between the draw and the first byte gets nothing', async () => {
  const bench = new Bench();
  bench.onGate = markFirst;
  await bench.start([sayHello, sayHello]);
  expect((await bench.post('m')).body).toBe('hello');
  expect(bench.seen).toEqual(['r1']);
  await bench.stop();
});
test(
  'a return that stands still is broken off and its slot is free',
  withBench([goSilent], checkSilent),
);
test(
  'a return without length or chunks never looks finished',
  withBench([sayUnbounded, sayHello], checkUnbounded),
);
test('a return with both length and chunks is none', withBench([sayTwoEnds], checkTwoEnds));
test(
  'bodies, repeated headers and trailers are passed on byte for byte',
  withBench([echo], checkBytes),
);
test(
  'heads asked for, 204 and 304 are passed on as they are',
  withBench([sayByMethod], checkBodiless),
);
test(
  'a return that begins before the body is read is passed on',
  withBench([sayEarly], checkEarly),
);
test(
  'a stale kept connection does not bar its back end',
  withBench([closeAfterFirst], checkStaleKept),
);
test(
  'a once-only request whose runner breaks off is unsure and never sent again',
  withBench([cutAtOnce, sayHello], checkOnceBroken),
);
test(
  'a runner that is not reached costs nothing: the next one runs it',
  withBench([sayHello], checkUnreached, true),
);
test(
  'a runner that says it has not begun is left for the next',
  withBench([beFull, sayHello], checkFull),
);
test(
  'when all say so the client is told when to come back',
  withBench([beFull, beFull], checkAllFull),
);
test(
  'a stream that breaks is visibly broken and not stitched',
  withBench([cutInMidst, sayHello], checkBrokenStream),
);
test(
  'a repeatable request runs again elsewhere, within its budget',
  withBench([cutAtOnce, sayHello], checkRepeat),
);
test('a run that passes its limit is told as unsure', withBench([saySilent], checkLate));
test('bad bodies and unknown names never reach a runner', withBench([sayHello], checkBodies));
test(
  'a stale kept-alive connection causes no repeat and no false turning away',
  withBench([closeAfterFirst], checkStale),
);
test('a client that leaves cancels its run', async () => {
  const bench = new Bench();
  const events: string[] = [];
  let tellCut: () => void = saySilent;
  const cut = new Promise<void>((done: () => void) => {
    tellCut = done;
  });
  function watch(asked: IncomingMessage, returned: ServerResponse): void {
    returned.writeHead(200);
    returned.write('begin');
    returned.once('close', note);
    asked.resume();
  }
  function note(): void {
    events.push('cancelled');
    tellCut();
  }
  await bench.start([watch]);
  const sent = await beginRequest(bench.address);
  sent.destroy();
  await cut;
  expect(events).toEqual(['cancelled']);
  await bench.stop();
});
test('a slow client holds its runner back instead of our memory', async () => {
  const bench = new Bench();
  let produced = 0;
  const LIMIT = 64 * 1024 * 1024;
  function pour(_asked: IncomingMessage, returned: ServerResponse): void {
    const chunk = Buffer.alloc(64 * 1024);
    function more(): void {
      while (produced < LIMIT) {
        produced += chunk.length;
        if (!returned.write(chunk)) {
          returned.once('drain', more);
          return;
        }
      }
    }
    more();
  }
  await bench.start([pour]);
  const sent = await beginRequest(bench.address);
  // The client reads nothing: the runner must be held back long before it has poured everything out.
  let before = -1;
  for (let calm = 0; calm < 2000; calm = produced === before ? calm + 1 : 0) {
    before = produced;
    await new Promise(setImmediate);
  }
  expect(produced).toBeLessThan(LIMIT / 2);
  sent.destroy();
  await bench.stop();
});
