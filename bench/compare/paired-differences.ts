/** Mean differences of paired measurements, with their 95 % intervals. */
import { mean, sampleStandardDeviation } from 'simple-statistics';

/**
 * 97.5 % quantiles of Student's t distribution for 1, 2, … degrees of freedom, from standard tables. Beyond the last
 * one the quantile of the normal distribution is close enough for days that take a few minutes each.
 */
const T_QUANTILES = [
  12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.16, 2.145,
];
const NORMAL_QUANTILE = 1.96;

/** A figure measured before and after on the same day with the same seed. */
export interface Pair {
  readonly before: number;
  readonly after: number;
}

/** The mean of the differences; `halfWidth` is undefined for a single pair, which has no measurable spread. */
export interface MeanDifference {
  readonly pairs: number;
  readonly before: number;
  readonly after: number;
  readonly difference: number;
  readonly halfWidth: number | undefined;
}

/**
 * Compares paired measurements.
 *
 * @throws {Error} if there are no pairs.
 */
export function meanDifference(pairs: readonly Pair[]): MeanDifference {
  const differences = pairs.map(({ before, after }) => after - before);
  const count = differences.length;
  const quantile = T_QUANTILES[count - 2] ?? NORMAL_QUANTILE;
  return {
    pairs: count,
    before: mean(pairs.map(({ before }) => before)),
    after: mean(pairs.map(({ after }) => after)),
    difference: mean(differences),
    halfWidth:
      count < 2 ? undefined : (quantile * sampleStandardDeviation(differences)) / Math.sqrt(count),
  };
}
