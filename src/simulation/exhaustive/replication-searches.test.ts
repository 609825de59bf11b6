import { expect, test } from 'vitest';
import { replication } from './searched-protocols.js';
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

for (const [index, search] of shortSearchesOf('replication').entries()) {
  test(`search ${index + 1} of the replication finds no violation`, () => checkSound(search));
}

test('detects a change that is committed on a single replica', async () => {
  const protocol = replication('calm', true, 'committed-at-one-copy');
  expect(await violatedInvariant(protocol, everyOrder(6))).toContain(
    'without a majority of synced copies',
  );
});
test('detects an acknowledgement before the write is synced', async () => {
  const protocol = replication('calm', true, 'acknowledged-unsynced');
  expect(await violatedInvariant(protocol, everyOrder(6))).toContain(
    'without a majority of synced copies',
  );
});
test('detects a write that is accepted from a former leader', async () => {
  const protocol = replication('takeover', false, 'old-epoch-written');
  expect(await violatedInvariant(protocol, everyOrder(6))).toContain('though "ab" was committed');
});
