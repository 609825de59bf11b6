/** Metrics as plain data, independent of the metrics library. */

/** One label of a sample. */
export interface MetricLabel {
  readonly name: string;
  readonly value: string;
}

/** One value of a metric; a metric without labels has one sample. */
export interface MetricSample {
  readonly labels: readonly MetricLabel[];
  readonly value: number;
}

/** A metric with all of its samples. Counters only increase while a process runs; gauges may also decrease. */
export interface MetricFamily {
  readonly kind: 'counter' | 'gauge';
  readonly name: string;
  readonly help: string;
  readonly samples: readonly MetricSample[];
}

/** Rendered metrics, with their content type. */
export interface Exposition {
  readonly contentType: string;
  readonly body: string;
}
