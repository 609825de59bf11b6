import { expect, test } from 'vitest';
import { TokenBudget } from './token-budget.js';
test('repeats stay within a fifth and a few', () => {
  const budget = new TokenBudget(0.2, 3);
  let spent = 0;
  for (let index = 0; index < 1000; index += 1) {
    budget.credit();
    if (budget.trySpend()) spent += 1;
  }
  expect(spent).toBeLessThanOrEqual(203);
  expect(spent).toBeGreaterThan(190);
});
