import { expect, test } from 'vitest';
import { bite } from './storms.js';
test.each(['streams-resumed', 'no-budget', 'no-ramp', 'drain-cuts', 'no-kept-back'] as const)(
  'the simulator detects the mutation %s',
  async (mutation: Parameters<typeof bite>[0]) => {
    expect(await bite(mutation)).toEqual([]);
  },
  600_000,
);
