/**
 * Metrics as data, and their text format for a Prometheus server. Processes count in plain classes; the metrics library is
 * loaded on the first request for metrics, and its registry is created anew for each request.
 */

import type { Exposition, MetricFamily } from './metric-family.js';

export type { Exposition, MetricFamily, MetricLabel, MetricSample } from './metric-family.js';

/** A counter without labels. */
export function counterFamily(name: string, help: string, value: number): MetricFamily {
  return { kind: 'counter', name, help, samples: [{ labels: [], value }] };
}

/** A gauge without labels; a boolean becomes 0 or 1. */
export function gaugeFamily(name: string, help: string, value: number | boolean): MetricFamily {
  return { kind: 'gauge', name, help, samples: [{ labels: [], value: Number(value) }] };
}

/** A metric with one label, and one sample for each value of the label. */
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

/** Renders all families in the Prometheus text format. */
export async function renderMetrics(families: readonly MetricFamily[]): Promise<Exposition> {
  // Imported on demand: a process without requests for metrics does not load the library. The library is wrapped in a module
  // of this project because a bundle gives a CommonJS library no named exports when it is imported dynamically.
  const { prometheusText } = await import('./prometheus-text.js');
  return prometheusText(families);
}
