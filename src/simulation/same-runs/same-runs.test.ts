import { setImmediate } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { PINNED_KINDS, type PinnedKindName } from './pinned-runs.js';
import { RecordedDigests } from './recorded-digests.js';

/** Twenty in a row have every shape of `mixed` but the long ones. */
const MIXED_FROM = 21;
const MIXED_COUNT = 20;
const STORMS = 4;
const DISPATCHERS = 60;
const PLANNERS = 30;

async function expectSame(kind: PinnedKindName, from: number, count: number): Promise<void> {
  const recorded = new RecordedDigests();
  const differing: number[] = [];
  for (let seed = from; seed < from + count; seed += 1) {
    // The test runner must be heard between two runs.
    await setImmediate();
    const expected = recorded.of(kind, seed);
    if (expected === undefined || PINNED_KINDS[kind].run(seed) !== expected) differing.push(seed);
  }
  expect(differing).toEqual([]);
}

async function checkMixed(): Promise<void> {
  await expectSame('mixed', MIXED_FROM, MIXED_COUNT);
}
test('seeds of the deployed control side run as they were recorded', checkMixed);

async function checkStorms(): Promise<void> {
  await expectSame('storms', 1, STORMS);
}
test('storms over a fleet of the table of policies run as they were recorded', checkStorms);

async function checkDispatchers(): Promise<void> {
  await expectSame('dispatcher', 1, DISPATCHERS);
}
test('dispatchers alone do what was recorded', checkDispatchers);

async function checkPlanners(): Promise<void> {
  await expectSame('planner', 1, PLANNERS);
}
test('planners alone do what was recorded', checkPlanners);
