import { expect, test } from 'vitest';
import { checkMutation } from './storms.js';
test.each([
  'no-gap-between-holders',
  'orders-untimed',
  'never-blind',
  'acks-unasked',
  'marks-ignored',
] as const)(
  'the simulator detects the mutation %s',
  async (mutation: Parameters<typeof checkMutation>[0]) => {
    expect(await checkMutation(mutation)).toEqual([]);
  },
  600_000,
);
