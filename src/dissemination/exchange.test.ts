import { type Server, type Socket, connect, createServer } from 'node:net';
import { firstValueFrom, take, toArray } from 'rxjs';
import { expect, test } from 'vitest';
import { monotonicNow } from '../common/clock.js';
import type { HaretrackError } from '../common/errors.js';
import { bindServer } from '../common/listen.js';
import { encodeMessage } from '../common/messages.js';
import { Exchange, type Incoming } from './exchange.js';

function ignore(): void {
  /* the tests observe the close */
}

const errors: HaretrackError[] = [];
function makeExchange(id: string, listen: string): Exchange {
  return new Exchange({ id, role: 'test', zone: 'z', listen, reach: {} }, (error) =>
    errors.push(error),
  );
}
function kindOf(incoming: Incoming): string {
  return incoming.message.kind;
}
function isBadFrame(error: HaretrackError): boolean {
  return error.code === 'bad-frame';
}
test('messages arrive complete and in order in both directions, and a closed connection is reported', async () => {
  const server = makeExchange('server', '127.0.0.1:0');
  const port = await server.open();
  const client = makeExchange('client', '');
  const id = `127.0.0.1:${port}`;
  client.dial(id);
  const receivedByServer = firstValueFrom(server.incoming$.pipe(take(3), toArray()));
  const received = firstValueFrom(client.incoming$);
  // The listener learns the id of the dialing node from its hello; the large body spans many chunks.
  const large = 'x'.repeat(3_000_000);
  function sendAll(): void {
    client.send(id, { kind: 'update', topic: 'a', epoch: 1, count: 1, body: large });
    client.send(id, { kind: 'demand', body: 'b' });
    client.send(id, { kind: 'assignParent', parent: 'c' });
  }
  for (let isUp = false; !isUp;) {
    isUp = client.isConnected(id);
    if (!isUp) await new Promise(setImmediate);
  }
  sendAll();
  const messages = await receivedByServer;
  expect(messages.map(kindOf)).toEqual(['update', 'demand', 'assignParent']);
  expect(messages[0]?.message.kind === 'update' && messages[0].message.body.length).toBe(3_000_000);
  server.send('client', { kind: 'assignParent', parent: 'p' });
  expect((await received).message).toEqual({ kind: 'assignParent', parent: 'p' });
  const disconnected = firstValueFrom(server.disconnected$);
  client.close();
  expect(await disconnected).toBe('client');
  server.close();
});
test('a malformed frame closes its connection and is reported', async () => {
  const server = makeExchange('server', '127.0.0.1:0');
  const port = await server.open();
  const socket = connect({ host: '127.0.0.1', port });
  socket.on('error', ignore);
  socket.resume();
  const closed = new Promise<void>((done: () => void) => {
    socket.once('close', done);
  });
  socket.write(Buffer.from([0, 0, 0, 2, 255, 255]));
  await closed;
  expect(errors.some(isBadFrame)).toBe(true);
  server.close();
});

function wait(millis: number): Promise<void> {
  return new Promise((done: () => void) => {
    setTimeout(done, millis);
  });
}

test('an idle connection is closed after the timeout and can be dialed again', async () => {
  // A server that accepts, sends its hello and then nothing more, as behind a network partition.
  const sockets: Socket[] = [];
  const server: Server = createServer((socket: Socket) => {
    sockets.push(socket);
    socket.on('error', ignore);
    socket.resume();
    const hello = encodeMessage({
      kind: 'hello',
      id: `127.0.0.1:${socket.localPort}`,
      role: 'test',
      zone: 'z',
    });
    const header = Buffer.alloc(4);
    header.writeUInt32BE(hello.length);
    socket.write(Buffer.concat([header, hello]));
  });
  const port = await bindServer(server, '127.0.0.1:0');
  const client = makeExchange('client', '');
  const id = `127.0.0.1:${port}`;
  const startedAt = monotonicNow();
  const disconnected = firstValueFrom(client.disconnected$);
  client.dial(id);
  await disconnected;
  expect(monotonicNow() - startedAt).toBeGreaterThan(1400);
  expect(monotonicNow() - startedAt).toBeLessThan(3000);
  // It can be dialed again immediately.
  client.dial(id);
  await wait(300);
  expect(sockets).toHaveLength(2);
  client.close();
  server.close();
});
test('heartbeats keep a connection without messages open', async () => {
  const server = makeExchange('server', '127.0.0.1:0');
  const port = await server.open();
  const client = makeExchange('client', '');
  const closed: string[] = [];
  client.disconnected$.subscribe((id) => closed.push(id));
  client.dial(`127.0.0.1:${port}`);
  await wait(2500);
  expect(closed).toEqual([]);
  expect(client.isConnected(`127.0.0.1:${port}`)).toBe(true);
  client.close();
  server.close();
});
test('messages sent while a node is dialed are delivered once it is connected', async () => {
  const server = makeExchange('server', '127.0.0.1:0');
  const port = await server.open();
  const client = makeExchange('client', '');
  const received = firstValueFrom(server.incoming$);
  // There is no connection yet: the first message of a session does not wait for its next tick.
  client.send(`127.0.0.1:${port}`, { kind: 'demand', body: 'first' });
  expect((await received).message).toEqual({ kind: 'demand', body: 'first' });
  client.close();
  server.close();
});
