import { expect, test } from 'vitest';
import { bite } from './storms.js';
test.each(['streams-resumed', 'no-budget', 'no-ramp', 'drain-cuts', 'no-kept-back'] as const)(
  'a build with %s is caught',
  async (wrong: Parameters<typeof bite>[0]) => {
    expect(await bite(wrong)).toEqual([]);
  },
  600_000,
);
