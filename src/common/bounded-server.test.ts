import { connect, type Socket } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import type { BoundedRequest } from './bounded-request.js';
import { BoundedServer } from './bounded-server.js';
import { Counters } from './counters.js';
import type { IntakeLimits } from './intake-limits.js';
import { bindServer } from './listen.js';

const LIMITS: IntakeLimits = { requestBytes: 200_000, connections: 20, requestsPerConnection: 8 };
const MAX_BODY_BYTES = 50_000;
const REQUEST = 'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok';

/** A server that answers each request with its body, or holds it until it is told to answer. */
class TestServer {
  readonly counters = new Counters();
  readonly held: BoundedRequest[] = [];
  readonly bounded: BoundedServer;
  readonly sockets: Socket[] = [];
  isHolding = false;
  port = 0;

  constructor(limits: Partial<IntakeLimits> = {}) {
    this.bounded = new BoundedServer({
      limits: { ...LIMITS, ...limits },
      counters: this.counters,
      onRequest: (request) => this.#onRequest(request),
      overloadHeaders: { 'retry-after': '1' },
    });
  }

  async start(): Promise<this> {
    this.port = await bindServer(this.bounded.http, '127.0.0.1:0');
    return this;
  }

  /** Connects a client, whose received text grows as it arrives. */
  client(): TestClient {
    const client = new TestClient(this.port);
    this.sockets.push(client.socket);
    return client;
  }

  stop(): void {
    for (const socket of this.sockets) socket.destroy();
    this.bounded.http.close();
  }

  async #onRequest(bounded: BoundedRequest): Promise<void> {
    const outcome = await bounded.readBody(MAX_BODY_BYTES);
    if (outcome.kind === 'revoked') this.bounded.refuseRevoked(bounded, outcome.reason);
    if (outcome.kind === 'too-large') this.#refuseTooLarge(bounded);
    if (outcome.kind !== 'complete') return;
    if (this.isHolding) this.held.push(bounded);
    else bounded.response.end(outcome.body);
  }

  #refuseTooLarge({ request, response }: BoundedRequest): void {
    this.counters.add('test.too-large');
    this.bounded.refuse(request, response, 413);
  }
}

class TestClient {
  readonly socket: Socket;
  received = '';
  isClosed = false;

  constructor(port: number) {
    this.socket = connect(port, '127.0.0.1');
    this.socket.on('data', (data) => this.#onData(data));
    this.socket.on('error', () => undefined);
    this.socket.once('close', () => this.#onClose());
  }

  /** The status codes received, in order. */
  get statuses(): string[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status = '']) => status);
  }

  #onData(data: Buffer): void {
    this.received += data.toString('latin1');
  }

  #onClose(): void {
    this.isClosed = true;
  }
}

let server: TestServer | undefined;
afterEach(() => server?.stop());

async function start(limits?: Partial<IntakeLimits>): Promise<TestServer> {
  server = await new TestServer(limits).start();
  return server;
}

test('as many requests as are allowed on a connection are answered in order', async () => {
  const { client } = await startWithClient();
  client.socket.write(REQUEST.repeat(LIMITS.requestsPerConnection));
  await expect.poll(() => client.statuses).toEqual(Array(LIMITS.requestsPerConnection).fill('200'));
});

test('a connection with more requests in progress than allowed is closed, and its memory returned', async () => {
  const { running, client } = await startWithClient();
  running.isHolding = true;
  client.socket.write(REQUEST.repeat(LIMITS.requestsPerConnection + 1));
  await expect.poll(() => client.isClosed).toBe(true);
  expect(client.statuses).toEqual([]);
  await expect.poll(() => running.bounded.reservedBytes).toBe(0);
  expect(running.counters.get('intake.requests-ahead')).toBe(1);
});

test('of the requests that were read at once no more are made than one beyond those allowed', async () => {
  const { running, client } = await startWithClient();
  let made = 0;
  running.bounded.http.on('request', () => (made += 1));
  running.bounded.http.on('upgrade', () => (made += 1));
  running.isHolding = true;
  client.socket.write('GET / HTTP/1.1\r\n\r\n'.repeat(3000));
  await expect.poll(() => client.isClosed).toBe(true);
  expect(made).toBeLessThanOrEqual(LIMITS.requestsPerConnection + 2);
});

test('a request behind one that was refused is not handled, since its response could not be sent', async () => {
  const { running, client } = await startWithClient();
  running.isHolding = true;
  client.socket.write(`${REQUEST}GET / HTTP/1.1\r\n\r\n${REQUEST}`);
  await expect.poll(() => running.held.length).toBe(1);
  running.held[0]?.response.end('first');
  await expect.poll(() => client.statuses).toEqual(['200', '400']);
  await expect.poll(() => client.isClosed).toBe(true);
  expect(running.held.length).toBe(1);
  expect(running.bounded.reservedBytes).toBe(0);
});

test('a request to change the protocol is handled as an ordinary one', async () => {
  const { client } = await startWithClient();
  client.socket.write('GET / HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n');
  await expect.poll(() => client.statuses).toEqual(['200']);
});

test('a request without a host, and one with an expectation, are refused and counted', async () => {
  const { running, client } = await startWithClient();
  client.socket.write('GET / HTTP/1.1\r\n\r\n');
  await expect.poll(() => client.statuses).toEqual(['400']);
  const other = running.client();
  other.socket.write('GET / HTTP/1.1\r\nHost: h\r\nExpect: nothing\r\n\r\n');
  await expect.poll(() => other.statuses).toEqual(['417']);
  await expect.poll(() => running.bounded.reservedBytes).toBe(0);
});

test('a body gives way to a later request, with a status that says that it has not run', async () => {
  const { running, client } = await startWithClient({ requestBytes: 60_000 });
  client.socket.write('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n');
  client.socket.write('x'.repeat(40_000));
  await expect.poll(() => running.bounded.reservedBytes).toBeGreaterThan(40_000);
  const other = running.client();
  other.socket.write(
    `POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n${'y'.repeat(20_000)}`,
  );
  await expect.poll(() => other.statuses).toEqual(['200']);
  await expect.poll(() => client.statuses).toEqual(['503']);
  await expect.poll(() => client.isClosed).toBe(true);
  expect(client.received).toContain('retry-after: 1');
  await expect.poll(() => running.bounded.reservedBytes).toBe(0);
});

test('clients that leave in the middle of a body or of a response leave nothing reserved', async () => {
  const { running, client } = await startWithClient();
  running.isHolding = true;
  client.socket.write(
    REQUEST + REQUEST + 'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx',
  );
  await expect.poll(() => running.held.length).toBe(2);
  expect(running.bounded.reservedBytes).toBeGreaterThan(0);
  client.socket.resetAndDestroy();
  await expect.poll(() => running.bounded.reservedBytes).toBe(0);
});

interface Started {
  readonly running: TestServer;
  readonly client: TestClient;
}

async function startWithClient(limits?: Partial<IntakeLimits>): Promise<Started> {
  const running = await start(limits);
  return { running, client: running.client() };
}

test('beyond the connections allowed, the one that has been idle for the longest is closed', async () => {
  const running = await start({ connections: 3 });
  const clients: TestClient[] = [];
  for (let index = 0; index < 3; index += 1) {
    const client = running.client();
    client.socket.write(REQUEST);
    await expect.poll(() => client.statuses).toEqual(['200']);
    clients.push(client);
  }
  clients[0]?.socket.write(REQUEST);
  await expect.poll(() => clients[0]?.statuses).toEqual(['200', '200']);
  const late = running.client();
  late.socket.write(REQUEST);
  await expect.poll(() => late.statuses).toEqual(['200']);
  await expect.poll(() => clients.map(({ isClosed }) => isClosed)).toEqual([false, true, false]);
});

test('connections that rest in a body give way, those that wait for a response do not', async () => {
  const running = await start({ connections: 2 });
  running.isHolding = true;
  const waiting = running.client();
  waiting.socket.write(REQUEST);
  await expect.poll(() => running.held.length).toBe(1);
  const resting = running.client();
  resting.socket.write('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx');
  await expect.poll(() => running.bounded.reservedBytes).toBeGreaterThan(16_384);
  const second = running.client();
  second.socket.write(REQUEST);
  await expect.poll(() => running.held.length).toBe(2);
  expect(resting.isClosed).toBe(true);
  const refused = running.client();
  await expect.poll(() => refused.isClosed).toBe(true);
  expect([waiting.isClosed, second.isClosed]).toEqual([false, false]);
  // A place becomes free when somebody leaves.
  second.socket.destroy();
  await expect.poll(() => running.counters.get('intake.connections-refused')).toBe(1);
  running.isHolding = false;
  await expect
    .poll(async () => {
      const next = running.client();
      next.socket.write(REQUEST);
      await new Promise((done: (value: unknown) => void) =>
        next.socket.once('close', done).once('data', done),
      );
      return next.statuses;
    })
    .toEqual(['200']);
});

test('a refused body is read for a bounded number of bytes, and its client can read the response', async () => {
  const { client } = await startWithClient();
  client.socket.write('POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n');
  const chunk = `10000\r\n${'x'.repeat(0x1_00_00)}\r\n`;
  const endless = setInterval(() => client.socket.write(chunk), 1);
  await expect.poll(() => client.statuses).toEqual(['413']);
  await expect.poll(() => client.isClosed).toBe(true);
  clearInterval(endless);
});

test('a refused body behind a response that is due does not break that response off', async () => {
  const { running, client } = await startWithClient();
  running.isHolding = true;
  client.socket.write(REQUEST);
  await expect.poll(() => running.held.length).toBe(1);
  client.socket.write('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000000\r\n\r\n');
  client.socket.write('x'.repeat(5_000_000));
  await expect.poll(() => running.counters.get('test.too-large')).toBe(1);
  running.held[0]?.response.end('first');
  await expect.poll(() => client.statuses).toEqual(['200', '413']);
  await expect.poll(() => client.isClosed).toBe(true);
});
