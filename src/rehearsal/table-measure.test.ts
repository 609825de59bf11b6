import { expect, test } from 'vitest';
import { measureTable } from './table-measure.js';
test('ten thousand rows and mappings are in force in time and cost a request no walk', async () => {
  const small = measureTable(10);
  await new Promise(setImmediate);
  const large = measureTable(10_000);
  // A thousand times the rows: walking costs hundreds of times more, finding must not.
  expect(large.drawUs).toBeLessThan(large.walkUs / 10);
  expect(large.inForceMs).toBeGreaterThan(0);
  expect(large.inForceMs).toBeLessThan(2000);
  expect(small.inForceMs).toBeLessThan(2000);
}, 600_000);
