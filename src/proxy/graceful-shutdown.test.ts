import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { TestProxy, event, events, idOf, ignore, writeStreamHead } from './testing/test-proxy.js';

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
