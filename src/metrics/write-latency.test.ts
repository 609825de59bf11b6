import { expect, test } from 'vitest';
import { secondsOf, WriteLatency } from './write-latency.js';

test('durations are summed, and the age of the oldest write under way is reported', () => {
  const writes = new WriteLatency();
  const quick = writes.begin(1000);
  const hung = writes.begin(1010);
  const failing = writes.begin(1020);
  writes.end(quick, 1040, 'done');
  writes.end(failing, 1620, 'failed');
  expect(writes.figures(3010)).toEqual({
    done: 1,
    failed: 1,
    slow: 1,
    totalMs: 640,
    underWay: 1,
    oldestMs: 2000,
  });
  writes.end(hung, 3010, 'done');
  expect(writes.figures(3010)).toMatchObject({ done: 2, slow: 2, underWay: 0, oldestMs: 0 });
});
test('a second end of the same write is ignored', () => {
  const writes = new WriteLatency();
  const id = writes.begin(0);
  writes.end(id, 5, 'done');
  writes.end(id, 9, 'failed');
  expect(writes.figures(10)).toMatchObject({ done: 1, failed: 0, totalMs: 5 });
});
test('milliseconds are converted to seconds', () => {
  expect(secondsOf(1500)).toBe(1.5);
});
