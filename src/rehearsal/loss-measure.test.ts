import { expect, test } from 'vitest';
import { measureLosses, measureTakeover } from './loss-measure.js';
test('after a single loss of the leader, a control node may issue orders again within a bounded time', async () => {
  for (const { loss, mostMs } of await measureLosses(1, 4)) {
    // At least the waiting time in which no node may issue orders, at most the time for detection, election and waiting.
    expect(mostMs, loss).toBeGreaterThanOrEqual(3000);
    expect(mostMs, loss).toBeLessThan(8000);
  }
}, 600_000);
test('after the loss of a primary runner, the secondary serves most of its requests', async () => {
  const { outcomes, undisturbed } = await measureTakeover(1, 12);
  // The seed decides which runner is lost; without requests for its models there would be nothing to compare.
  expect(undisturbed['done'] ?? 0).toBeGreaterThan(100);
  expect(outcomes['done'] ?? 0).toBeGreaterThan((undisturbed['done'] ?? 0) * 0.6);
}, 600_000);
