import { type Server, type Socket, connect, createServer } from 'node:net';
import { firstValueFrom, take, toArray } from 'rxjs';
import { expect, test } from 'vitest';
import { monotonicNow } from '../common/clock.js';
import type { HaretrackError } from '../common/errors.js';
import { bindServer } from '../common/listen.js';
import { encodeMessage } from '../common/messages.js';
import { Exchange, type Incoming } from './exchange.js';

function ignore(): void {
  /* nothing to say */
}

const told: HaretrackError[] = [];
function tell(defect: HaretrackError): void {
  told.push(defect);
}
function make(id: string, listen: string): Exchange {
  return new Exchange({ id, role: 'test', zone: 'z', listen, reach: {} }, tell);
}
function kindOf(incoming: Incoming): string {
  return incoming.message.kind;
}
function isBadFrame(defect: HaretrackError): boolean {
  return defect.code === 'bad-frame';
}
test('messages come whole and in order both ways, and a closed line is told', async () => {
  const server = make('server', '127.0.0.1:0');
  const port = await server.open();
  const client = make('client', '');
  const id = `127.0.0.1:${port}`;
  client.dial(id);
  const got = firstValueFrom(server.incoming$.pipe(take(3), toArray()));
  const heard = firstValueFrom(client.incoming$);
  // The listener knows a dialler by its hello; the large body must come whole and in its place.
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
test('garbage closes its line alone', async () => {
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
  expect(told.some(isBadFrame)).toBe(true);
  server.close();
});

function wait(millis: number): Promise<void> {
  return new Promise((done: () => void) => {
    setTimeout(done, millis);
  });
}

test('a line that falls silent is given up and may be dialled anew', async () => {
  // It takes the line and says who it is, and then nothing more: as behind a cut.
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
test('a line on which nothing is said stays up by its empty frames', async () => {
  const server = make('server', '127.0.0.1:0');
  const port = await server.open();
  const client = make('client', '');
  const lost: string[] = [];
  client.disconnected$.subscribe(lost.push.bind(lost));
  client.dial(`127.0.0.1:${port}`);
  await wait(2500);
  expect(lost).toEqual([]);
  expect(client.isConnected(`127.0.0.1:${port}`)).toBe(true);
  client.close();
  server.close();
});
test('what is said while a line is being dialled comes with it', async () => {
  const server = make('server', '127.0.0.1:0');
  const port = await server.open();
  const client = make('client', '');
  const heard = firstValueFrom(server.incoming$);
  // No line stands yet: the first word of a session comes with the line, not with the next tick.
  client.send(`127.0.0.1:${port}`, { kind: 'demand', body: 'first' });
  expect((await heard).message).toEqual({ kind: 'demand', body: 'first' });
  client.close();
  server.close();
});
