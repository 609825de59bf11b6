import {
  createServer,
  request,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import { expect, test } from 'vitest';
import { RunnerAgent } from './runner-agent.js';

test('a connection that its runner keeps for a second is reused, and closed before that time is up', async () => {
  const runner = new Runner({ connection: 'keep-alive', 'keep-alive': 'timeout=1' });
  await runner.start();
  await runner.request();
  expect(runner.agent.hasIdleConnection('127.0.0.1', runner.port)).toBe(true);
  await runner.request();
  expect(runner.connections).toBe(1);
  const [socket] = runner.agent.freeSockets[`127.0.0.1:${runner.port}:`] ?? [];
  // The proxy's timer closes it before the runner's does.
  expect(socket?.timeout).toBe(850);
  runner.stop();
});
test('a connection whose response says `connection: close` is not kept', async () => {
  const runner = new Runner({ connection: 'close' });
  await runner.start();
  await runner.request();
  await runner.request();
  expect(runner.connections).toBe(2);
  expect(runner.agent.hasIdleConnection('127.0.0.1', runner.port)).toBe(false);
  runner.stop();
});

class Runner {
  readonly agent = new RunnerAgent();
  readonly #server: Server;
  port = 0;
  connections = 0;

  constructor(headers: Readonly<Record<string, string>>) {
    this.#server = createServer(
      { keepAliveTimeout: 60_000 },
      (_request: IncomingMessage, response: ServerResponse) => {
        response.writeHead(200, { ...headers, 'content-length': 2 }).end('ok');
      },
    );
    this.#server.on('connection', () => this.#count());
  }

  #count(): void {
    this.connections += 1;
  }

  async start(): Promise<void> {
    const server = this.#server;
    await new Promise<void>((done: () => void) => {
      server.listen(0, '127.0.0.1', done);
    });
    const bound = server.address();
    this.port = typeof bound === 'object' && bound !== null ? bound.port : 0;
  }

  stop(): void {
    this.agent.destroy();
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Resolves once the response has been read and its connection is idle or closed. */
  async request(): Promise<void> {
    const { agent, port } = this;
    await new Promise<void>((done: () => void, fail: (thrown: unknown) => void) => {
      const sent = request({ host: '127.0.0.1', port, agent });
      sent.once('response', (response: IncomingMessage) => {
        agent.recordKeepAlive(response);
        response.resume();
        response.once('close', done);
      });
      sent.once('error', fail);
      sent.end();
    });
    await new Promise(setImmediate);
  }
}
