import { expect, test } from 'vitest';
import { voterChangeWithVoterFaults, voterChange, voterRestart } from './searched-protocols.js';
import type { Search } from './searches.js';
import {
  violatedInvariant,
  withFaults,
  shortSearchesOf,
  findProblems,
} from './testing/search-checks.js';
import { THREE_GENERATIONS } from './voter-restart-protocol.js';

async function checkSound(search: Search): Promise<void> {
  expect(await findProblems(search)).toEqual([]);
}

for (const [index, search] of shortSearchesOf('voter-change').entries()) {
  test(`search ${index + 1} of the voter change finds no violation`, () => checkSound(search));
}

/** A successor makes a second change at step 17 at the earliest. */
const SECOND_CHANGE_CLOCK_STEPS = 17;
const FIRST_CHANGE_CLOCK_STEPS = 14;

test('detects new voters that take over without a joint set', async () => {
  const protocol = voterChange('joint-set-skipped');
  expect(await violatedInvariant(protocol, withFaults(0))).toContain(
    'two sets of voters could decide independently',
  );
});
test('detects a joint set that is lost at a restart', async () => {
  const mistake = 'joint-set-not-stored';
  const protocol = voterChangeWithVoterFaults(FIRST_CHANGE_CLOCK_STEPS, ['restart'], mistake);
  expect(await violatedInvariant(protocol, withFaults(1))).toContain(
    'two sets of voters could decide independently',
  );
  expect(await violatedInvariant(protocol, withFaults(0))).toBe('none');
});
test('detects a second change without a joint set', async () => {
  const mistake = 'second-joint-set-skipped';
  const protocol = voterChangeWithVoterFaults(SECOND_CHANGE_CLOCK_STEPS, ['freeze'], mistake);
  expect(await violatedInvariant(protocol, withFaults(1))).toContain(
    'two sets of voters could decide independently',
  );
  expect(await violatedInvariant(protocol, withFaults(0))).toBe('none');
});
// Guards against CONFIG (review/6): nobody leads after a restart of all, since the newest voters stay on one disk.
test('detects voters that stay on one disk after a restart', async () => {
  const protocol = voterRestart(THREE_GENERATIONS, [], 'voters-not-reported');
  expect(await violatedInvariant(protocol, withFaults(0))).toContain('no leader has served');
});
