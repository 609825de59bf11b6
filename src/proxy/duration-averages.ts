/** Weights of a new observation in the mean and in the mean deviation (RFC 6298, section 2). */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** The mean of recent durations and their mean deviation from it, ms. */
export interface DurationAverage {
  readonly meanMs: number;
  readonly deviationMs: number;
}

/** Moving averages of durations and of their spread, by key, as TCP keeps them for round-trip times (RFC 6298). */
export class DurationAverages {
  readonly #averages = new Map<string, DurationAverage>();

  /** Records a duration, ms. */
  record(key: string, durationMs: number): void {
    const known = this.#averages.get(key);
    this.#averages.set(key, known ? updated(known, durationMs) : first(durationMs));
  }

  /** The averages of the key; undefined before the first observation. */
  of(key: string): DurationAverage | undefined {
    return this.#averages.get(key);
  }
}

/** After a single observation, half of it is taken as the deviation (RFC 6298, section 2.2). */
function first(durationMs: number): DurationAverage {
  return { meanMs: durationMs, deviationMs: durationMs / 2 };
}

function updated({ meanMs, deviationMs }: DurationAverage, durationMs: number): DurationAverage {
  const deviation = Math.abs(durationMs - meanMs);
  return {
    meanMs: meanMs + (durationMs - meanMs) * MEAN_WEIGHT,
    deviationMs: deviationMs + (deviation - deviationMs) * DEVIATION_WEIGHT,
  };
}
