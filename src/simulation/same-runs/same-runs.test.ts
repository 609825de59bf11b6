import { setImmediate } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { PINNED_KINDS, type PinnedKindName } from './pinned-runs.js';
import { RecordedDigests } from './recorded-digests.js';

/** Twenty consecutive seeds have every shape of `mixed` except the long ones. */
const MIXED_FROM = 21;
const MIXED_COUNT = 20;
const STORM_COUNT = 4;
const RELAY_COUNT = 3;
const ORDERS_COUNT = 2;
const DISPATCHER_COUNT = 60;
const PLANNER_COUNT = 30;

async function expectSame(kind: PinnedKindName, from: number, count: number): Promise<void> {
  const recorded = new RecordedDigests();
  const differing: number[] = [];
  for (let seed = from; seed < from + count; seed += 1) {
    // The test runner must be able to process its messages between two runs.
    await setImmediate();
    const expected = recorded.of(kind, seed);
    if (expected === undefined || PINNED_KINDS[kind].run(seed) !== expected) differing.push(seed);
  }
  expect(differing).toEqual([]);
}

test('runs of the deployed control plane match the recorded digests', async () => {
  await expectSame('mixed', MIXED_FROM, MIXED_COUNT);
});

test('storm runs of a fleet under the policy table match the recorded digests', async () => {
  await expectSame('storms', 1, STORM_COUNT);
});

test('runs of the deployed control plane with many agents match the recorded digests', async () => {
  await expectSame('relay', 1, RELAY_COUNT);
});

test("runs of operators' commands under the policy table match the recorded digests", async () => {
  await expectSame('orders', 1, ORDERS_COUNT);
});

test('dispatcher runs match the recorded digests', async () => {
  await expectSame('dispatcher', 1, DISPATCHER_COUNT);
});

test('planner runs match the recorded digests', async () => {
  await expectSame('planner', 1, PLANNER_COUNT);
});
