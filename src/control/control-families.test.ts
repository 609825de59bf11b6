import { expect, test } from 'vitest';
import type { MetricFamily } from '../metrics/exposition.js';
import { WriteLatency } from '../metrics/write-latency.js';
import { controlFamilies } from './control-families.js';
import { ControlCounters, type ControlMetrics } from './control-metrics.js';

function metricsOf(changes: Partial<ControlMetrics>): ControlMetrics {
  const counters = new ControlCounters();
  counters.countRefused('too-old');
  return {
    epoch: 8,
    isLeaderKnown: true,
    isLeading: false,
    isServing: false,
    mayOrder: false,
    leaseLeftMs: 0,
    majorityContactAgeMs: 250,
    voters: { members: 3, reachable: 3, isVoter: true, isJoint: false },
    replica: 'repairing',
    corruptPartitions: 0,
    configHeld: { epoch: 8, count: 41 },
    configCommitted: { epoch: 8, count: 40 },
    edits: counters.edits,
    events: counters.eventsWith({
      electionsStarted: 2,
      votesGranted: 1,
      copiesRepaired: 0,
      leaderlessListReads: 6,
    }),
    sessions: { open: 4, behind: 1, versionsBehind: 3 },
    ...changes,
  };
}

function familiesOf(changes: Partial<ControlMetrics>): MetricFamily[] {
  return controlFamilies(metricsOf(changes), new WriteLatency().figures(0));
}

/** The value of the sample of that name, with the value of its label if it has one. */
function valueOf(families: readonly MetricFamily[], name: string, label = ''): number | undefined {
  for (const family of families) {
    if (family.name !== `haretrack_control_${name}`) continue;
    for (const sample of family.samples) {
      if ((sample.labels[0]?.value ?? '') === label) return sample.value;
    }
  }
  return undefined;
}

test('the values of a snapshot are exposed under the names of the metrics', () => {
  const families = familiesOf({});
  expect(valueOf(families, 'epoch')).toBe(8);
  expect(valueOf(families, 'leader_known')).toBe(1);
  expect(valueOf(families, 'majority_contact_age_seconds')).toBe(0.25);
  expect(valueOf(families, 'config_held_count')).toBe(41);
  expect(valueOf(families, 'config_committed_count')).toBe(40);
  expect(valueOf(families, 'orders_refused_total', 'too-old')).toBe(1);
  expect(valueOf(families, 'orders_refused_total', 'base-changed')).toBe(0);
  expect(valueOf(families, 'elections_total')).toBe(2);
  expect(valueOf(families, 'leaderless_list_readings_total')).toBe(6);
  expect(valueOf(families, 'versions_behind')).toBe(3);
});
test('the replica state metric is 1 for exactly one state', () => {
  const families = familiesOf({ replica: 'blank' });
  const states = ['sound', 'blank', 'lost', 'repairing'];
  expect(states.map((state) => valueOf(families, 'replica_state', state))).toEqual([0, 1, 0, 0]);
});
test('a node that never had contact reports an infinite contact age', () => {
  const families = familiesOf({ majorityContactAgeMs: undefined });
  expect(valueOf(families, 'majority_contact_age_seconds')).toBe(Infinity);
});
test('metric names are unique and follow the naming conventions', () => {
  const names = new Set<string>();
  for (const { name, kind } of familiesOf({})) {
    expect(name).toMatch(/^haretrack_control_[a-z_]+$/);
    // By convention, counters end in _total and gauges do not.
    expect(name.endsWith('_total')).toBe(kind === 'counter');
    expect(names.has(name)).toBe(false);
    names.add(name);
  }
});
