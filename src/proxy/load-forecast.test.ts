import { expect, test } from 'vitest';
import { LoadForecast } from './load-forecast.js';
import { at, runnerOf } from './testing/dispatch-fixtures.js';
test('forecasts prefer the earliest load in progress to a waiting one, and a new snapshot replaces them', () => {
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
  // The earliest load in progress counts, although a waiting one is reported to be ready sooner.
  expect(forecast.expectedAt('m', '')).toBe(400);
  expect(forecast.expectedAt('m', 'x')).toBe(120);
  expect(forecast.expectedAt('m', 'y')).toBe(400);
  // A load without an estimate has no forecast.
  expect(forecast.expectedAt('n', '')).toBe(undefined);
  expect(forecast.expectedAt('o', '')).toBe(170);
  forecast.update(at(200), { flows: 1, waits: [], runners: [] });
  expect(forecast.expectedAt('m', '')).toBe(undefined);
});
