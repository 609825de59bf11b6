import { expect, test } from 'vitest';
import { bite } from './storms.js';
test.each([
  'slots-forgotten',
  'once-repeated',
  'unsure-run-as-no',
  'ends-made-up',
  'unbounded-as-whole',
] as const)(
  'a build with %s is caught',
  async (wrong: Parameters<typeof bite>[0]) => {
    expect(await bite(wrong)).toEqual([]);
  },
  600_000,
);
