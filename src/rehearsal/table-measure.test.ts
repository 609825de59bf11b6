import { expect, test } from 'vitest';
import { measureTable } from './table-measure.js';
test('ten thousand rows and mappings are in force in time, and a request looks them up without a linear scan', async () => {
  const small = measureTable(10);
  await new Promise(setImmediate);
  const large = measureTable(10_000);
  // With a thousand times the rows, a linear scan takes hundreds of times longer; the lookup must not.
  expect(large.drawUs).toBeLessThan(large.walkUs / 10);
  expect(large.inForceMs).toBeGreaterThan(0);
  expect(large.inForceMs).toBeLessThan(2000);
  expect(small.inForceMs).toBeLessThan(2000);
}, 600_000);
