import { expect, test } from 'vitest';
import { election } from './searched-protocols.js';
import type { Search } from './searches.js';
import {
  violatedInvariant,
  withFaults,
  everyOrder,
  shortSearchesOf,
  findProblems,
} from './testing/search-checks.js';

async function checkSound(search: Search): Promise<void> {
  expect(await findProblems(search)).toEqual([]);
}

for (const [index, search] of shortSearchesOf('election').entries()) {
  test(`search ${index + 1} of the election finds no violation`, () => checkSound(search));
}

test('detects messages that are sent before their record is synced', async () => {
  const protocol = election('contested', true, 'speaks-unsynced');
  expect(await violatedInvariant(protocol, everyOrder(3))).toContain(
    'sent before its record was synced',
  );
});
test('detects a grant that is lost at a restart', async () => {
  const protocol = election('contested', false, 'grant-forgotten');
  expect(await violatedInvariant(protocol, everyOrder(4))).toContain('two leaders in epoch');
});
test('detects a lease without a handover gap', async () => {
  const protocol = election('after a leader', false, 'no-lease-gap');
  expect(await violatedInvariant(protocol, withFaults(1))).toContain(
    'two leaders may send orders within the handover gap',
  );
});
