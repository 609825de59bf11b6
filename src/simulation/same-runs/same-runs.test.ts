import { setImmediate } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { PINNED_KINDS, type PinnedKindName } from './pinned-runs.js';
import { RecordedDigests } from './recorded-digests.js';

/** Twenty in a row have every shape of `mixed` but the long ones. */
const MIXED_FROM = 21;
const MIXED_COUNT = 20;
const STORMS = 4;
const RELAYS = 3;
const ORDERS = 2;
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

test('seeds of the deployed control plane run as they were recorded', async () => {
  await expectSame('mixed', MIXED_FROM, MIXED_COUNT);
});

test('storms over a fleet under the policy table run as they were recorded', async () => {
  await expectSame('storms', 1, STORMS);
});

test('the deployed control plane with many agents runs as it was recorded', async () => {
  await expectSame('relay', 1, RELAYS);
});

test("operators' commands under the policy table are answered as was recorded", async () => {
  await expectSame('orders', 1, ORDERS);
});

test('dispatchers alone do what was recorded', async () => {
  await expectSame('dispatcher', 1, DISPATCHERS);
});

test('planners alone do what was recorded', async () => {
  await expectSame('planner', 1, PLANNERS);
});
