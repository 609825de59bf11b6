import { expect, test } from 'vitest';
import { LoadForecast } from './load-forecast.js';
import { at, runnerOf } from './testing/dispatch-fixtures.js';
test('the first load under way is forecast, then what waits, until told anew', () => {
  const forecast = new LoadForecast();
  expect(forecast.expectedAt('m', '')).toBe(undefined);
  forecast.update(at(100), {
    flows: 1,
    waits: [
      { model: 'm', adapter: '', readyMs: 50 },
      { model: 'n', adapter: '', readyMs: 0 },
      { model: 'o', adapter: '', readyMs: 70 },
    ],
    runners: [
      runnerOf('a', { coming: [{ model: 'm', adapter: '', readyMs: 400 }] }),
      runnerOf('b', { coming: [{ model: 'm', adapter: '', readyMs: 300 }] }),
      runnerOf('c', { coming: [{ model: 'm', adapter: 'x', readyMs: 20 }] }),
    ],
  });
  // The first load under way counts, though one that only waits would be due sooner.
  expect(forecast.expectedAt('m', '')).toBe(400);
  expect(forecast.expectedAt('m', 'x')).toBe(120);
  expect(forecast.expectedAt('m', 'y')).toBe(400);
  // Nothing is told where it cannot be.
  expect(forecast.expectedAt('n', '')).toBe(undefined);
  expect(forecast.expectedAt('o', '')).toBe(170);
  forecast.update(at(200), { flows: 1, waits: [], runners: [] });
  expect(forecast.expectedAt('m', '')).toBe(undefined);
});
