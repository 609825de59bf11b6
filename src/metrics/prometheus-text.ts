/** Renders metrics with the metrics library. Import this module dynamically only, since it loads the whole library. */

import { Counter, Gauge, Registry } from 'prom-client';
import type { Exposition, MetricFamily, MetricLabel } from './metric-family.js';

function labelNamesOf(family: MetricFamily): string[] {
  const names = new Set<string>();
  for (const sample of family.samples) for (const label of sample.labels) names.add(label.name);
  return [...names];
}

function entryOf(label: MetricLabel): readonly [string, string] {
  return [label.name, label.value];
}

/** Renders families in the text format. Each call uses a new registry, so no values carry over from one call to the next. */
export async function prometheusText(families: readonly MetricFamily[]): Promise<Exposition> {
  const registry = new Registry();
  for (const family of families) {
    const { name, help } = family;
    const settings = { name, help, labelNames: labelNamesOf(family), registers: [registry] };
    const metric = family.kind === 'counter' ? new Counter(settings) : new Gauge(settings);
    for (const { labels, value } of family.samples) {
      metric.inc(Object.fromEntries(labels.map(entryOf)), value);
    }
  }
  return { contentType: registry.contentType, body: await registry.metrics() };
}
