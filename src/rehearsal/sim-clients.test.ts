import { expect, test } from 'vitest';
import { bite } from './storms.js';

async function checkBites(wrong: Parameters<typeof bite>[0]): Promise<void> {
  expect(await bite(wrong)).toEqual([]);
}
test.each(['streams-resumed', 'no-budget', 'no-ramp', 'drain-cuts', 'no-kept-back'] as const)(
  'a build with %s is caught',
  checkBites,
  600_000,
);
