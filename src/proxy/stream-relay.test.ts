import type { IncomingMessage, ServerResponse } from 'node:http';
import { expect, test } from 'vitest';
import { event, events, withTestProxy, writeStreamHead } from './testing/test-proxy.js';

const LARGE_EVENT_BYTES = 3 * 1024 * 1024;

function largeEvent(id: number): string {
  return `id: ${id}\ndata: ${'x'.repeat(LARGE_EVENT_BYTES)}\n\n`;
}

/** Goes on after the first event with bytes that end no event, and breaks off. */
function breakOffInLargeEvent(request: IncomingMessage, response: ServerResponse): void {
  writeStreamHead(response, request);
  response.write(event(1) + largeEvent(2).slice(0, -2), () => response.destroy());
}

// Guards against LOST (review/9): streams in which no event ends filled the memory, while their clients got one event each.
test('a stream in which no event ends reaches its client, and no other run goes on with it', () =>
  withTestProxy([breakOffInLargeEvent], async (proxy) => {
    const response = await proxy.request('/stream/1');
    expect(response.status).toBe(200);
    expect(response.isComplete).toBe(false);
    expect(response.body.startsWith(`${event(1)}id: 2\ndata: xxx`)).toBe(true);
    expect(response.body.length).toBeGreaterThan(LARGE_EVENT_BYTES / 2);
    expect(proxy.counters.get('streams.large-event.too-large')).toBe(1);
  }));

test('a response that broke off in a large event is not continued by another run', async () => {
  let runs = 0;
  function breakOffAgain(request: IncomingMessage, response: ServerResponse): void {
    runs += 1;
    breakOffInLargeEvent(request, response);
  }
  await withTestProxy([breakOffAgain, breakOffAgain], async (proxy) => {
    expect((await proxy.request('/stream/1')).isComplete).toBe(false);
    expect(runs).toBe(1);
  });
});

test('a large event that ends is forwarded whole, and another run can continue the stream after it', async () => {
  let runs = 0;
  function run(request: IncomingMessage, response: ServerResponse): void {
    runs += 1;
    const last = Number(request.headers['last-event-id'] ?? 0);
    writeStreamHead(response, request);
    if (runs === 1) {
      response.write(`${event(1)}${largeEvent(2)}id: 3\nda`, () => response.destroy());
      return;
    }
    expect(last).toBe(2);
    // It repeats what it was not asked for.
    response.end(largeEvent(2) + events(3, 4));
  }
  await withTestProxy([run, run], async (proxy) => {
    const response = await proxy.request('/stream/1');
    expect(response.isComplete).toBe(true);
    expect(response.body === event(1) + largeEvent(2) + events(3, 4)).toBe(true);
    expect(proxy.dispatcher.counts.resumed).toBe(1);
  });
});

test('another run whose large event does not show its id is not forwarded', async () => {
  let runs = 0;
  function run(request: IncomingMessage, response: ServerResponse): void {
    runs += 1;
    writeStreamHead(response, request);
    if (runs === 1) response.write(`${event(1)}id: 2`, () => response.destroy());
    else response.end(`data: ${'x'.repeat(LARGE_EVENT_BYTES)}\nid: 1\n\n`);
  }
  await withTestProxy([run, run], async (proxy) => {
    const response = await proxy.request('/stream/1');
    expect([response.body, response.isComplete]).toEqual([event(1), false]);
  });
});
