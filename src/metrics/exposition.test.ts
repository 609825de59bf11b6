import { expect, test } from 'vitest';
import { counterFamily, gaugeFamily, labelledFamily, renderMetrics } from './exposition.js';

function lengthOf(value: string): number {
  return value.length;
}

function isSample(line: string): boolean {
  return line !== '' && !line.startsWith('#');
}

test('families are rendered in the text format, in the given order', async () => {
  const families = [
    counterFamily('example_writes_total', 'Writes.', 3),
    gaugeFamily('example_ready', 'Whether it is ready.', true),
    gaugeFamily('example_age_seconds', 'Age.', Infinity),
    labelledFamily('counter', 'example_ends_total', 'Ends.', 'reason', ['one', 'three'], lengthOf),
  ];
  const { body, contentType } = await renderMetrics(families);
  expect(contentType).toContain('text/plain');
  expect(body.split('\n').filter(isSample)).toEqual([
    'example_writes_total 3',
    'example_ready 1',
    'example_age_seconds +Inf',
    'example_ends_total{reason="one"} 3',
    'example_ends_total{reason="three"} 5',
  ]);
  expect(body).toContain('# TYPE example_writes_total counter');
  expect(body).toContain('# HELP example_ready Whether it is ready.');
});
test('no values carry over from one rendering to the next', async () => {
  const families = [counterFamily('example_writes_total', 'Writes.', 3)];
  const first = await renderMetrics(families);
  // A second registration in the same registry would fail, and a sum would be 6.
  expect(await renderMetrics(families)).toEqual(first);
});
test('no other metrics are collected than the given ones', async () => {
  expect((await renderMetrics([])).body.trim()).toBe('');
});
