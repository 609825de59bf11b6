import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { expect, test } from 'vitest';
import { TestProxy, ignore } from './testing/test-proxy.js';

const MIB = 1024 * 1024;
/** The chunks of one byte that each of the responses below consists of, and the number of these responses. */
const SINGLE_BYTE_CHUNKS = 200_000;
const SINGLE_BYTE_RESPONSES = 4;
/** Each response is less than 1 MiB, and its buffer may be twice as large. */
const MAX_SINGLE_BYTE_GROWTH_MB = 2 * SINGLE_BYTE_RESPONSES;

function isCallable(value: unknown): value is () => void {
  return typeof value === 'function';
}

/** Collects garbage, and returns the memory in use, MiB. */
function usedMemoryMb(): number {
  setFlagsFromString('--expose-gc');
  const collectGarbage: unknown = runInNewContext('gc');
  if (!isCallable(collectGarbage)) throw new Error('garbage can not be collected');
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return (heapUsed + external) / MIB;
}

/** Waits until the memory in use no longer grows, and returns it, MiB. */
async function settledMemoryMb(): Promise<number> {
  let before = Number.NaN;
  for (let used = usedMemoryMb(); !(Math.abs(used - before) < 0.1); used = usedMemoryMb()) {
    before = used;
    await pause(200);
  }
  return before;
}

// Guards against LOST (related to review/9): a response in chunks of one byte occupied over a hundred times its length.
test('a response that is kept for a retry costs its length, and not its chunks', async () => {
  const text = Buffer.from('1\r\nx\r\n'.repeat(SINGLE_BYTE_CHUNKS), 'latin1');
  let started = 0;
  function respondInSingleBytes(socket: Socket): void {
    socket.on('error', ignore);
    socket.once('data', (head: Buffer) => {
      const id = /x-id: (\S+)/.exec(head.toString('latin1'))?.[1] ?? '';
      const lines = ['HTTP/1.1 200 OK', `x-id: ${id}`, 'transfer-encoding: chunked'];
      socket.write(`${lines.join('\r\n')}\r\n\r\n`);
      socket.write(text, () => {
        started += 1;
      });
    });
  }
  const proxy = new TestProxy();
  await proxy.start([respondInSingleBytes], true);
  proxy.agent.maxSockets = SINGLE_BYTE_RESPONSES;
  try {
    const before = usedMemoryMb();
    for (let count = 0; count < SINGLE_BYTE_RESPONSES; count += 1)
      void proxy.request('/safe/1').catch(ignore);
    while (started < SINGLE_BYTE_RESPONSES) await pause(20);
    const grownMb = (await settledMemoryMb()) - before;
    expect(grownMb).toBeLessThanOrEqual(MAX_SINGLE_BYTE_GROWTH_MB);
  } finally {
    await proxy.stop();
  }
});
