import { expect, test } from 'vitest';
import { measureOverload, measurePrefixAffinity, measureDissemination } from './measures.js';
test('requests go to runners that have their prompt prefixes cached more often than by chance', () => {
  const [ours, random] = measurePrefixAffinity(1);
  expect(ours?.keptShare ?? 0).toBeGreaterThan((random?.keptShare ?? 1) * 1.2);
});
test('under overload, requests are served by weight', () => {
  const [weighted, plain] = measureOverload(1);
  // The weights decide which requests are served, and no request waits long before it is rejected.
  expect(weighted?.heavyServed ?? 0).toBeGreaterThan((plain?.heavyServed ?? 0) * 1.3);
  expect(weighted?.mostWaitOfTurnedAwayMs ?? 5000).toBeLessThan(2600);
});
test('fifty proxies have a new table within 1 s and a leaving mark within 1.5 s', () => {
  const measure = measureDissemination(50, 1);
  expect(measure.configMs).toBeLessThan(1000);
  expect(measure.markMs).toBeLessThan(1500);
});
