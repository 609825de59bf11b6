import { expect, test } from 'vitest';
import { bite } from './storms.js';
test.each([
  'no-gap-between-holders',
  'orders-untimed',
  'never-blind',
  'acks-unasked',
  'marks-ignored',
] as const)(
  'the simulator detects the mutation %s',
  async (mutation: Parameters<typeof bite>[0]) => {
    expect(await bite(mutation)).toEqual([]);
  },
  600_000,
);
