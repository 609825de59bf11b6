import { expect, test } from 'vitest';
import { checkMutation } from './storms.js';
test.each([
  'slots-forgotten',
  'once-repeated',
  'unsure-run-as-no',
  'ends-made-up',
  'unbounded-as-whole',
] as const)(
  'the simulator detects the mutation %s',
  async (mutation: Parameters<typeof checkMutation>[0]) => {
    expect(await checkMutation(mutation)).toEqual([]);
  },
  600_000,
);
