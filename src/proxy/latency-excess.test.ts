import { expect, test } from 'vitest';
import { LatencyExcess } from './latency-excess.js';
import { at } from './testing/dispatch-fixtures.js';

test('a slow first event counts fully at once, faster ones reduce the excess gradually', () => {
  const excess = new LatencyExcess();
  excess.record(at(0), 100);
  expect(excess.valueMs(at(0))).toBe(100);
  excess.record(at(0), 0);
  expect(excess.valueMs(at(0))).toBeCloseTo(70);
  excess.record(at(0), 200);
  expect(excess.valueMs(at(0))).toBe(200);
});

test('the excess decays without observations', () => {
  const excess = new LatencyExcess();
  excess.record(at(0), 100);
  expect(excess.valueMs(at(2000))).toBeCloseTo(100 / Math.E);
  expect(excess.valueMs(at(20_000))).toBeLessThan(0.01);
});

test('a runner faster than usual has no negative excess', () => {
  const excess = new LatencyExcess();
  excess.record(at(0), -50);
  expect(excess.valueMs(at(0))).toBe(0);
});
