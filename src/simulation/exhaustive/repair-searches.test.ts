import { expect, test } from 'vitest';
import { repair, SEEDS } from './searched-protocols.js';
import type { Search } from './searches.js';
import {
  violatedInvariant,
  everyOrder,
  shortSearchesOf,
  findProblems,
} from './testing/search-checks.js';

async function checkSound(search: Search): Promise<void> {
  expect(await findProblems(search)).toEqual([]);
}

for (const [index, search] of shortSearchesOf('repair').entries()) {
  test(`search ${index + 1} of the repair finds no violation`, () => checkSound(search));
}

test('detects a repair from a single other voter', async () => {
  const protocol = repair('wiped', [SEEDS], 'repaired-by-one');
  expect(await violatedInvariant(protocol, everyOrder(7))).toContain('though "ab" was committed');
});
test('detects a repaired voter that votes twice in an epoch', async () => {
  const protocol = repair('wiped after a grant', [SEEDS], 'grant-forgotten');
  expect(await violatedInvariant(protocol, everyOrder(7))).toContain('two leaders in epoch');
});
