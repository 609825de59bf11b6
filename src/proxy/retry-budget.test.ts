import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import { RetryBudget } from './retry-budget.js';

test('in any window the retries of all proxies stay within the share and the additional ones', () => {
  const settings = { ratio: 0.2, extra: 58, windowMs: 10_000 };
  const proxyCount = 9;
  const budgets: RetryBudget[] = [];
  for (let index = 0; index < proxyCount; index += 1) budgets.push(new RetryBudget(settings));
  const requests: number[] = [];
  const retries: number[] = [];
  // A burst in the middle and no requests after it; every retry that the budget allows is spent.
  for (let now = 0; now < 60_000; now += 20) {
    const count = now > 20_000 && now < 24_000 ? 9 : now > 40_000 ? 0 : 2;
    for (let index = 0; index < count; index += 1) {
      const budget = budgets[(now / 20 + index) % proxyCount];
      budget?.onRequest(moment(now));
      requests.push(now);
    }
    for (const budget of budgets) if (budget.trySpend(moment(now), proxyCount)) retries.push(now);
  }
  for (let end = 10_000; end <= 60_000; end += 500) {
    const spent = retries.filter(inWindow.bind(undefined, end)).length;
    const made = Math.max(
      requests.filter(inWindow.bind(undefined, end)).length,
      requests.filter(inWindow.bind(undefined, end - 5000)).length,
      requests.filter(inWindow.bind(undefined, end - 10_000)).length,
    );
    expect(spent).toBeLessThanOrEqual(0.2 * made + 58);
  }
  expect(retries.length).toBeGreaterThan(200);
});
function inWindow(end: number, at: number): boolean {
  return at > end - 10_000 && at <= end;
}
