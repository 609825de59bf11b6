import { type Server, type Socket, connect, createServer } from 'node:net';
import { firstValueFrom, take, toArray } from 'rxjs';
import { expect, test } from 'vitest';
import { monotonicNow } from '../common/clock.js';
import type { HaretrackError } from '../common/errors.js';
import { bindServer } from '../common/listen.js';
import { encodeMessage } from '../common/messages.js';
import { Exchange, type Incoming } from './exchange.js';

function ignore(): void {
  /* the close is what is tested */
}

const errors: HaretrackError[] = [];
function make(id: string, listen: string): Exchange {
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
test('messages arrive complete and in order both ways, and a closed connection is notified', async () => {
  const server = make('server', '127.0.0.1:0');
  const port = await server.open();
  const client = make('client', '');
  const id = `127.0.0.1:${port}`;
  client.dial(id);
  const got = firstValueFrom(server.incoming$.pipe(take(3), toArray()));
  const heard = firstValueFrom(client.incoming$);
  // The listener knows a dialler by its hello; the large body must arrive complete and in order.
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
  const messages = await got;
  expect(messages.map(kindOf)).toEqual(['update', 'demand', 'assignParent']);
  expect(messages[0]?.message.kind === 'update' && messages[0].message.body.length).toBe(3_000_000);
  server.send('client', { kind: 'assignParent', parent: 'p' });
  expect((await heard).message).toEqual({ kind: 'assignParent', parent: 'p' });
  const gone = firstValueFrom(server.disconnected$);
  client.close();
  expect(await gone).toBe('client');
  server.close();
});
test('a malformed frame closes its own connection alone', async () => {
  const server = make('server', '127.0.0.1:0');
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

test('an idle connection is closed after the timeout and may be dialled anew', async () => {
  // A server that accepts, introduces itself and then sends nothing more, as behind a network partition.
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
    const head = Buffer.alloc(4);
    head.writeUInt32BE(hello.length);
    socket.write(Buffer.concat([head, hello]));
  });
  const port = await bindServer(server, '127.0.0.1:0');
  const client = make('client', '');
  const id = `127.0.0.1:${port}`;
  const began = monotonicNow();
  const gone = firstValueFrom(client.disconnected$);
  client.dial(id);
  await gone;
  expect(monotonicNow() - began).toBeGreaterThan(1400);
  expect(monotonicNow() - began).toBeLessThan(3000);
  // It may be dialled anew at once.
  client.dial(id);
  await wait(300);
  expect(sockets).toHaveLength(2);
  client.close();
  server.close();
});
test('a connection without messages stays open by its heartbeats', async () => {
  const server = make('server', '127.0.0.1:0');
  const port = await server.open();
  const client = make('client', '');
  const closed: string[] = [];
  client.disconnected$.subscribe((id) => closed.push(id));
  client.dial(`127.0.0.1:${port}`);
  await wait(2500);
  expect(closed).toEqual([]);
  expect(client.isConnected(`127.0.0.1:${port}`)).toBe(true);
  client.close();
  server.close();
});
test('messages sent while a node is dialled are delivered once it is connected', async () => {
  const server = make('server', '127.0.0.1:0');
  const port = await server.open();
  const client = make('client', '');
  const heard = firstValueFrom(server.incoming$);
  // Nothing is connected yet: the first message of a session does not wait for its next tick.
  client.send(`127.0.0.1:${port}`, { kind: 'demand', body: 'first' });
  expect((await heard).message).toEqual({ kind: 'demand', body: 'first' });
  client.close();
  server.close();
});
