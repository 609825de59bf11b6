import { expect, test } from 'vitest';
import { bite } from './storms.js';
test.each([
  'slots-forgotten',
  'once-repeated',
  'unsure-run-as-no',
  'ends-made-up',
  'unbounded-as-whole',
] as const)(
  'the simulator detects the mutation %s',
  async (mutation: Parameters<typeof bite>[0]) => {
    expect(await bite(mutation)).toEqual([]);
  },
  600_000,
);
