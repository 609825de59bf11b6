import { expect, test } from 'vitest';
import { bite } from './storms.js';

async function checkBites(wrong: Parameters<typeof bite>[0]): Promise<void> {
  expect(await bite(wrong)).toEqual([]);
}
test.each([
  'slots-forgotten',
  'once-repeated',
  'unsure-run-as-no',
  'ends-made-up',
  'unbounded-as-whole',
] as const)('a build with %s is caught', checkBites, 600_000);
