import { expect, test } from 'vitest';
import { measureLosses, measureTakeover } from './loss-measure.js';
test('after one loss somebody may order again within a bounded time', async () => {
  for (const { loss, mostMs } of await measureLosses(1, 4)) {
    // No sooner than the span in which nobody may order, and no later than it takes to notice, elect and wait.
    expect(mostMs, loss).toBeGreaterThanOrEqual(3000);
    expect(mostMs, loss).toBeLessThan(8000);
  }
}, 600_000);
test('when a primary is gone its understudy serves most of its calls', async () => {
  const { outcomes, undisturbed } = await measureTakeover(1, 12);
  // Which runner is lost is drawn: where nobody calls its models, there is nothing to compare.
  expect(undisturbed['done'] ?? 0).toBeGreaterThan(100);
  expect(outcomes['done'] ?? 0).toBeGreaterThan((undisturbed['done'] ?? 0) * 0.6);
}, 600_000);
