/**
 * Metrics as data, and their text form for a Prometheus server. What a process counts lives in plain classes; the metrics
 * library is loaded and filled only when somebody asks, and forgotten after it.
 */

import type { Exposition, MetricFamily } from './metric-family.js';

export type { Exposition, MetricFamily, MetricLabel, MetricSample } from './metric-family.js';

/** A counter without labels. */
export function counterFamily(name: string, help: string, value: number): MetricFamily {
  return { kind: 'counter', name, help, samples: [{ labels: [], value }] };
}

/** A gauge without labels; a flag is told as 0 or 1. */
export function gaugeFamily(name: string, help: string, value: number | boolean): MetricFamily {
  return { kind: 'gauge', name, help, samples: [{ labels: [], value: Number(value) }] };
}

/** A metric with one label, and one sample for each value of it. */
export function labelledFamily<Value extends string>(
  kind: MetricFamily['kind'],
  name: string,
  help: string,
  label: string,
  values: readonly Value[],
  valueOf: (value: Value) => number,
): MetricFamily {
  return {
    kind,
    name,
    help,
    samples: values.map((value) => ({ labels: [{ name: label, value }], value: valueOf(value) })),
  };
}

/** Renders all families in the text form. */
export async function renderMetrics(families: readonly MetricFamily[]): Promise<Exposition> {
  // Not at the start: a process that nobody asks neither loads the library nor keeps it in memory. The module is one of
  // ours, since a bundle gives a library of the older module kind no named exports when it is imported on demand.
  const { prometheusText } = await import('./prometheus-text.js');
  return prometheusText(families);
}
