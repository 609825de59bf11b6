import { linearRegression, rSquared } from 'simple-statistics';

/** A straight line through points, and how far they lie from it. */
export interface Fit {
  readonly points: number;
  readonly slope: number;
  readonly start: number;
  /** The most that a point lies off the line, as a part of the largest value. */
  readonly residual: number;
  readonly rSquared: number;
  /** How the value grows with the size between the first and the last point: 1 is in step with it, 2 with its square. */
  readonly exponent: number;
}

export function fitOf(points: readonly (readonly [number, number])[]): Fit {
  const pairs = points.map(pairOf);
  const { m, b } = linearRegression(pairs);
  function line(x: number): number {
    return m * x + b;
  }
  let most = 0;
  let largest = 0;
  for (const [x, y] of points) {
    most = Math.max(most, Math.abs(y - line(x)));
    largest = Math.max(largest, Math.abs(y));
  }
  const [first, last] = [points[0], points.at(-1)];
  const grows = first && last && first[1] > 0 && last[1] > 0 && last[0] !== first[0];
  return {
    points: points.length,
    slope: m,
    start: b,
    residual: largest === 0 ? 0 : most / largest,
    rSquared: rSquared(pairs, line),
    exponent: grows ? Math.log(last[1] / first[1]) / Math.log(last[0] / first[0]) : 0,
  };
}

function pairOf(point: readonly [number, number]): [number, number] {
  return [point[0], point[1]];
}
