import { expect, test } from 'vitest';
import { bite } from './storms.js';

async function checkBites(wrong: Parameters<typeof bite>[0]): Promise<void> {
  expect(await bite(wrong)).toEqual([]);
}
test.each([
  'no-gap-between-holders',
  'orders-untimed',
  'never-blind',
  'acks-unasked',
  'marks-ignored',
] as const)('a build with %s is caught', checkBites, 600_000);
