import { expect, test } from 'vitest';
import { fitOf } from './scale-fit.js';
test('points on a line are fitted without a residual', () => {
  const fit = fitOf([
    [10, 25],
    [20, 45],
    [40, 85],
    [80, 165],
  ]);
  expect(fit.slope).toBeCloseTo(2);
  expect(fit.start).toBeCloseTo(5);
  expect(fit.residual).toBeLessThan(1e-9);
  expect(fit.points).toBe(4);
});
test('quadratic growth is found by its exponent', () => {
  const fit = fitOf([
    [10, 100],
    [20, 400],
    [40, 1600],
    [80, 6400],
  ]);
  expect(fit.exponent).toBeCloseTo(2);
  // The residual shows that a line does not fit.
  expect(fit.residual).toBeGreaterThan(0.08);
});
