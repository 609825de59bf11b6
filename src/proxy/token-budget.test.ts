import { expect, test } from 'vitest';
import { ServiceBudgets, TokenBudget } from './token-budget.js';
test('retries stay within a fifth of the first attempts and the extra ones', () => {
  const budget = new TokenBudget(0.2, 3);
  let spent = 0;
  for (let index = 0; index < 1000; index += 1) {
    budget.credit();
    if (budget.trySpend()) spent += 1;
  }
  expect(spent).toBeLessThanOrEqual(203);
  expect(spent).toBeGreaterThan(190);
});

// Guards against violations of BUDGET: a proxy that started alone must not retain the extra retries of all proxies.
test('the extra retries of a budget follow the number of proxies', () => {
  const budgets = new ServiceBudgets(0.2, 10);
  for (let count = 0; count < 100; count += 1) budgets.of('s', 1).credit();
  let spent = 0;
  while (budgets.of('s', 5).trySpend()) spent += 1;
  expect(spent).toBe(2);
});
