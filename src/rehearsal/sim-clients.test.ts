import { expect, test } from 'vitest';
import { checkMutation } from './storms.js';
test.each(['streams-resumed', 'no-budget', 'no-ramp', 'drain-cuts', 'no-kept-back'] as const)(
  'the simulator detects the mutation %s',
  async (mutation: Parameters<typeof checkMutation>[0]) => {
    expect(await checkMutation(mutation)).toEqual([]);
  },
  600_000,
);
