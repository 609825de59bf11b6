import { expect, test } from 'vitest';
import { PROXY_COUNT_RETENTION_MS } from '../placement/fleet.js';
import { PublishedProxyCount } from './published-proxy-count.js';
import { at } from './testing/dispatch-fixtures.js';

test('a smaller number takes effect once the larger one was not published for the retention time', () => {
  const count = new PublishedProxyCount();
  expect(count.value(at(0))).toBe(1);
  count.set(at(0), 9);
  count.set(at(100), 3);
  expect(count.value(at(99 + PROXY_COUNT_RETENTION_MS))).toBe(9);
  expect(count.value(at(100 + PROXY_COUNT_RETENTION_MS))).toBe(3);
  count.set(at(200), 0);
  expect(count.value(at(200 + PROXY_COUNT_RETENTION_MS))).toBe(1);
});
test('the count is settled once it has not grown for a second after the start, and stays settled', () => {
  const count = new PublishedProxyCount();
  expect(count.isSettled(at(0))).toBe(false);
  count.set(at(0), 1);
  count.set(at(900), 4);
  expect([count.isSettled(at(1000)), count.isSettled(at(1899))]).toEqual([false, false]);
  // The same number again or a smaller one does not delay that.
  count.set(at(1500), 4);
  count.set(at(1600), 2);
  expect(count.isSettled(at(1900))).toBe(true);
  // Proxies that join later must not keep the others from using their shares.
  count.set(at(5000), 8);
  expect(count.isSettled(at(5000))).toBe(true);
});
