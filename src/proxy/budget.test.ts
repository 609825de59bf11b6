import { expect, test } from 'vitest';
import { Budget } from './budget.js';
test('repeats stay within a fifth and a few', () => {
  const budget = new Budget(0.2, 3);
  let spent = 0;
  for (let index = 0; index < 1000; index += 1) {
    budget.earn();
    if (budget.spend()) spent += 1;
  }
  expect(spent).toBeLessThanOrEqual(203);
  expect(spent).toBeGreaterThan(190);
});
