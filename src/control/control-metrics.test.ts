import { expect, test } from 'vitest';
import { versionsBetween } from '../common/version.js';
import { ControlCounters, sessionMetrics } from './control-metrics.js';

test('edits are counted by outcome and reason', () => {
  const counters = new ControlCounters();
  counters.countAccepted();
  counters.countAcknowledgedAgain();
  counters.countRefused('too-old');
  counters.countRefused('base-changed');
  counters.countRefused('base-changed');
  counters.countUnclear('no-majority');
  counters.countUnserved();
  counters.countForwarded();
  expect(counters.edits).toEqual({
    accepted: 2,
    acknowledgedAgain: 1,
    refused: { 'base-changed': 2, invalid: 0, 'too-old': 1, other: 0 },
    unclear: { 'no-majority': 1, 'leader-lost': 0, timeout: 0, forgotten: 0 },
    unserved: 1,
    forwarded: 1,
  });
});
test('event counts include those of the election and the replica', () => {
  const counters = new ControlCounters();
  counters.countLeaderChange();
  counters.countVoterChange();
  counters.countRepair();
  const own = { electionsStarted: 3, votesGranted: 2, copiesRepaired: 1, leaderlessListReads: 4 };
  expect(counters.eventsWith(own)).toEqual({
    ...own,
    leaderChanges: 1,
    voterChanges: 1,
    repairs: 1,
  });
});
test('a snapshot is not changed by later counts', () => {
  const counters = new ControlCounters();
  const before = counters.edits;
  counters.countRefused('invalid');
  expect(before.refused.invalid).toBe(0);
});
test('versions behind are counted across a change of leader', () => {
  const newer = { epoch: 4, count: 12 };
  expect(versionsBetween({ epoch: 4, count: 9 }, newer)).toBe(3);
  expect(versionsBetween({ epoch: 2, count: 9 }, newer)).toBe(3);
  // A new leader rewrites the same configuration, which counts as one version more.
  expect(versionsBetween({ epoch: 2, count: 12 }, newer)).toBe(1);
  expect(versionsBetween(newer, newer)).toBe(0);
  expect(versionsBetween({ epoch: 6, count: 1 }, newer)).toBe(0);
});
test('sessions that are behind are counted, with the largest lag', () => {
  const committed = { epoch: 4, count: 12 };
  const acked = [committed, { epoch: 4, count: 10 }, { epoch: 0, count: 0 }];
  expect(sessionMetrics(acked, committed)).toEqual({ open: 3, behind: 2, versionsBehind: 12 });
  expect(sessionMetrics([], committed)).toEqual({ open: 0, behind: 0, versionsBehind: 0 });
});
