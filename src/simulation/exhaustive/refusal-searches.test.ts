import { expect, test } from 'vitest';
import { refusalOnNewerBase, refusal } from './searched-protocols.js';
import type { Search } from './searches.js';
import {
  violatedInvariant,
  withFaults,
  shortSearchesOf,
  findProblems,
} from './testing/search-checks.js';

async function checkSound(search: Search): Promise<void> {
  expect(await findProblems(search)).toEqual([]);
}

for (const [index, search] of shortSearchesOf('refusal').entries()) {
  test(`search ${index + 1} of the refusal finds no violation`, () => checkSound(search));
}

test('detects a refusal because of an order that is still in progress', async () => {
  const protocol = refusal('refused-for-a-pending-one');
  expect(await violatedInvariant(protocol, withFaults(0))).toContain('is refused though its base');
});
test('detects a refusal because of an order in progress on a newer base', async () => {
  const protocol = refusalOnNewerBase(
    { beginning: 'after an order', clockSteps: 4 },
    'refused-for-a-pending-one',
  );
  expect(await violatedInvariant(protocol, withFaults(0))).toContain(
    'is refused though its base 7',
  );
});
test('detects a refusal by the outdated replica of a thawed former leader', async () => {
  const protocol = refusalOnNewerBase(
    { beginning: 'former leader frozen', clockSteps: 9 },
    'refused-by-its-own-copy',
  );
  expect(await violatedInvariant(protocol, withFaults(0))).toContain(
    'is refused though its base 7',
  );
});
