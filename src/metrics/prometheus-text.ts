/** The text form of metrics by the metrics library. Import it on demand alone: it brings the whole library. */

import { Counter, Gauge, Registry } from 'prom-client';
import type { Exposition, MetricFamily, MetricLabel } from './metric-family.js';

function namesOf(family: MetricFamily): string[] {
  const names = new Set<string>();
  for (const sample of family.samples) for (const label of sample.labels) names.add(label.name);
  return [...names];
}

function entryOf(label: MetricLabel): readonly [string, string] {
  return [label.name, label.value];
}

/** Each family is registered anew, so that nothing is kept between two asks. */
export async function prometheusText(families: readonly MetricFamily[]): Promise<Exposition> {
  const registry = new Registry();
  for (const family of families) {
    const { name, help } = family;
    const settings = { name, help, labelNames: namesOf(family), registers: [registry] };
    const metric = family.kind === 'counter' ? new Counter(settings) : new Gauge(settings);
    for (const { labels, value } of family.samples) {
      metric.inc(Object.fromEntries(labels.map(entryOf)), value);
    }
  }
  return { contentType: registry.contentType, body: await registry.metrics() };
}
