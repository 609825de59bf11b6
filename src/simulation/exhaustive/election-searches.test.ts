import { expect, test } from 'vitest';
import { election } from './searched-protocols.js';
import type { Search } from './searches.js';
import { brokenBy, faults, orders, searchesOf, shortcomingsOf } from './testing/search-checks.js';

async function checkSound(search: Search): Promise<void> {
  expect(await shortcomingsOf(search)).toEqual([]);
}

for (const [index, search] of searchesOf('election').entries()) {
  test(`search ${index + 1} of the election finds nothing`, () => checkSound(search));
}

test('words before their record is synced are found', async () => {
  const protocol = election('contested', true, 'speaks-unsynced');
  expect(await brokenBy(protocol, orders(3))).toContain('spoken before it was synced');
});
test('a grant that does not outlast a restart is found', async () => {
  const protocol = election('contested', false, 'grant-forgotten');
  expect(await brokenBy(protocol, orders(4))).toContain('two leaders in epoch');
});
test('a lease that begins right after another is found', async () => {
  const protocol = election('after a leader', false, 'no-lease-gap');
  expect(await brokenBy(protocol, faults(1))).toContain('two holders may order within the lease');
});
