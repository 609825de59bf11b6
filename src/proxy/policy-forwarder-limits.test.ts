/** Clients outside the limits, before the proxy that routes by the table. */
import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, expect, test } from 'vitest';
import { monotonicNow } from '../common/clock.js';
import { Counters } from '../common/counters.js';
import { PolicyForwarder } from './policy-forwarder.js';
import { PolicyRouter } from './policy-router.js';
import { POLICY_ROUTER_DEFAULTS } from './policy-router-types.js';

const MAX_BODY_BYTES = 1024 * 1024;
const INTAKE = { requestBytes: 3 * MAX_BODY_BYTES, connections: 8, requestsPerConnection: 8 };
/** Enough for their responses to fill the buffers of both systems. */
const REQUESTS_AHEAD = 100_000;
/** A test ends as soon as it holds; this only ends one that never would. */
const PATIENCE = { timeout: 10_000 };

let forwarder: PolicyForwarder;
let port: number;
const clients: Client[] = [];

class Client {
  readonly socket: Socket;
  received = '';
  isClosed = false;

  constructor() {
    this.socket = connect(port, '127.0.0.1');
    this.socket.on('data', (data) => this.#onData(data));
    this.socket.on('error', () => undefined);
    this.socket.once('close', () => this.#onClose());
    clients.push(this);
  }

  #onData(data: Buffer): void {
    this.received += data.toString('latin1');
  }

  #onClose(): void {
    this.isClosed = true;
  }
}

beforeEach(async () => {
  const settings = {
    ...POLICY_ROUTER_DEFAULTS,
    freshnessBoundMs: 2500,
    proxyId: 'p',
    incarnation: 1,
  };
  forwarder = new PolicyForwarder(
    new PolicyRouter(settings),
    { maxBodyBytes: MAX_BODY_BYTES, connectTimeoutMs: 300, idleTimeoutMs: 200, intake: INTAKE },
    new Counters(),
    monotonicNow,
  );
  port = await forwarder.listen('127.0.0.1:0');
});
afterEach(async () => {
  for (const { socket } of clients.splice(0)) socket.destroy();
  await forwarder.stop(0);
});

test('bodies that stop short of their end give way to later requests', async () => {
  const resting: Client[] = [];
  for (let count = 0; count < 6; count += 1) {
    const client = new Client();
    client.socket.write(`POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: ${MAX_BODY_BYTES}\r\n\r\n`);
    client.socket.write('x'.repeat(MAX_BODY_BYTES - 1));
    resting.push(client);
  }
  await expect
    .poll(
      () => resting.filter(({ received }) => received.startsWith('HTTP/1.1 503')).length,
      PATIENCE,
    )
    .toBeGreaterThan(1);
});

test('a connection whose client sends requests ahead and reads no response is closed', async () => {
  const client = new Client();
  client.socket.pause();
  const text = `POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789`;
  client.socket.write(text.repeat(REQUESTS_AHEAD));
  await expect.poll(() => client.isClosed, PATIENCE).toBe(true);
});

test('beyond the connections allowed, idle ones give way', async () => {
  const idle: Client[] = [];
  for (let count = 0; count < 3 * INTAKE.connections; count += 1) idle.push(new Client());
  await expect
    .poll(() => idle.filter(({ isClosed }) => isClosed).length, PATIENCE)
    .toBe(2 * INTAKE.connections);
});
