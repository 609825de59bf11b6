/** Metrics as plain data, before any library puts them into a text form. */

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

/** A metric with all of its samples. Counters only grow while a process runs, gauges go either way. */
export interface MetricFamily {
  readonly kind: 'counter' | 'gauge';
  readonly name: string;
  readonly help: string;
  readonly samples: readonly MetricSample[];
}

/** The text form, with the content type to send it under. */
export interface Exposition {
  readonly contentType: string;
  readonly body: string;
}
