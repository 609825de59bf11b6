import { expect, test } from 'vitest';
import { refusal, type Search } from './Searches.js';
import { brokenBy, faults, searchesOf, shortcomingsOf } from './testing/SearchChecks.js';

async function checkSound(search: Search): Promise<void> {
  expect(await shortcomingsOf(search)).toEqual([]);
}

for (const [index, search] of searchesOf('refusal').entries()) {
  test(`search ${index + 1} of the refusal finds nothing`, checkSound.bind(undefined, search));
}

async function checkHastyRefusal(): Promise<void> {
  const protocol = refusal('refused-for-a-pending-one');
  expect(await brokenBy(protocol, faults(0))).toContain('is refused though its base');
}

test('a refusal for an order that is still under way is found', checkHastyRefusal);
