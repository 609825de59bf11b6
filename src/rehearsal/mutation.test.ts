import { expect, test } from 'vitest';
import { bite } from './storms.js';
test.each([
  'no-gap-between-holders',
  'orders-untimed',
  'never-blind',
  'acks-unasked',
  'marks-ignored',
] as const)(
  'a build with %s is caught',
  async (wrong: Parameters<typeof bite>[0]) => {
    expect(await bite(wrong)).toEqual([]);
  },
  600_000,
);
