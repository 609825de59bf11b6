import { expect, test } from 'vitest';
import { measureCrowd, measureDraw, measureNews } from './measures.js';
test('prompts go to where their prefixes are kept', () => {
  const [ours, random] = measureDraw(1);
  expect(ours?.keptShare ?? 0).toBeGreaterThan((random?.keptShare ?? 1) * 1.2);
});
test('a crowd is served by weight', () => {
  const [weighted, plain] = measureCrowd(1);
  // Weights decide who is served, and nobody waits for long only to be told no.
  expect(weighted?.heavyServed ?? 0).toBeGreaterThan((plain?.heavyServed ?? 0) * 1.3);
  expect(weighted?.mostWaitOfTurnedAwayMs ?? 5000).toBeLessThan(2600);
});
test('fifty proxies have a new table within a second, and a mark within one and a half', () => {
  const measure = measureNews(50, 1);
  expect(measure.configMs).toBeLessThan(1000);
  expect(measure.markMs).toBeLessThan(1500);
});
