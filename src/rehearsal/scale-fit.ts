import { linearRegression, rSquared } from 'simple-statistics';

/** A linear fit of points, and measures of its error. */
export interface Fit {
  readonly points: number;
  readonly slope: number;
  /** Value of the line at size 0. */
  readonly start: number;
  /** Maximum distance of a point from the line, as a fraction of the largest absolute value. */
  readonly residual: number;
  readonly rSquared: number;
  /**
   * Exponent of the growth of the value with the size between the first and the last point: 1 is linear, 2 is quadratic.
   * 0 if it cannot be computed.
   */
  readonly exponent: number;
}

/** Fits a line through points, each a size and a value. */
export function fitOf(points: readonly (readonly [number, number])[]): Fit {
  const pairs = points.map(toPair);
  const { m, b } = linearRegression(pairs);
  function line(x: number): number {
    return m * x + b;
  }
  let maxDistance = 0;
  let largestValue = 0;
  for (const [x, y] of points) {
    maxDistance = Math.max(maxDistance, Math.abs(y - line(x)));
    largestValue = Math.max(largestValue, Math.abs(y));
  }
  const [first, last] = [points[0], points.at(-1)];
  const hasExponent = first && last && first[1] > 0 && last[1] > 0 && last[0] !== first[0];
  return {
    points: points.length,
    slope: m,
    start: b,
    residual: largestValue === 0 ? 0 : maxDistance / largestValue,
    rSquared: rSquared(pairs, line),
    exponent: hasExponent ? Math.log(last[1] / first[1]) / Math.log(last[0] / first[0]) : 0,
  };
}

function toPair(point: readonly [number, number]): [number, number] {
  return [point[0], point[1]];
}
