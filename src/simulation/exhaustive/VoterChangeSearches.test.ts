import { expect, test } from 'vitest';
import { voterChange, type Search } from './Searches.js';
import { brokenBy, faults, searchesOf, shortcomingsOf } from './testing/SearchChecks.js';

async function checkSound(search: Search): Promise<void> {
  expect(await shortcomingsOf(search)).toEqual([]);
}

for (const [index, search] of searchesOf('voter-change').entries()) {
  test(`search ${index + 1} of the voter change finds nothing`, checkSound.bind(undefined, search));
}

async function checkSkippedJointSet(): Promise<void> {
  const protocol = voterChange('joint-set-skipped');
  expect(await brokenBy(protocol, faults(0))).toContain('two sets of voters could decide apart');
}

test('new voters that take over without the joint set are found', checkSkippedJointSet);
