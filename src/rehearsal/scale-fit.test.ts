import { expect, test } from 'vitest';
import { fitOf } from './scale-fit.js';
test('a line is found with nothing left over', () => {
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
test('what grows with the square is seen as such', () => {
  const fit = fitOf([
    [10, 100],
    [20, 400],
    [40, 1600],
    [80, 6400],
  ]);
  expect(fit.exponent).toBeCloseTo(2);
  // A line through it is told by its residual to be none.
  expect(fit.residual).toBeGreaterThan(0.08);
});
