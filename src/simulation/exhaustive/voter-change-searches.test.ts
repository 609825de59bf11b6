import { expect, test } from 'vitest';
import { troubledVoters, voterChange } from './searched-protocols.js';
import type { Search } from './searches.js';
import { brokenBy, faults, searchesOf, shortcomingsOf } from './testing/search-checks.js';

async function checkSound(search: Search): Promise<void> {
  expect(await shortcomingsOf(search)).toEqual([]);
}

for (const [index, search] of searchesOf('voter-change').entries()) {
  test(`search ${index + 1} of the voter change finds nothing`, () => checkSound(search));
}

/** A successor makes a second change at step 17 at the earliest. */
const SECOND_CHANGE_CLOCK_STEPS = 17;
const FIRST_CHANGE_CLOCK_STEPS = 14;

test('new voters that take over without the joint set are found', async () => {
  const protocol = voterChange('joint-set-skipped');
  expect(await brokenBy(protocol, faults(0))).toContain('two sets of voters could decide apart');
});
test('a joint set that does not outlast a restart is found', async () => {
  const mistake = 'joint-set-not-stored';
  const protocol = troubledVoters(FIRST_CHANGE_CLOCK_STEPS, ['restart'], mistake);
  expect(await brokenBy(protocol, faults(1))).toContain('two sets of voters could decide apart');
  expect(await brokenBy(protocol, faults(0))).toBe('none');
});
test('a second change without a joint set is found', async () => {
  const mistake = 'second-joint-set-skipped';
  const protocol = troubledVoters(SECOND_CHANGE_CLOCK_STEPS, ['freeze'], mistake);
  expect(await brokenBy(protocol, faults(1))).toContain('two sets of voters could decide apart');
  expect(await brokenBy(protocol, faults(0))).toBe('none');
});
