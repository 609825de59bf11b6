import { expect, test } from 'vitest';
import { bite } from './storms.js';

async function checkBites(wrong: Parameters<typeof bite>[0]): Promise<void> {
  expect(await bite(wrong)).toEqual([]);
}
test.each([
  'emptied-ignored',
  'versions-unchecked',
  'yes-unsynced',
  'unsure-as-no',
  'room-forgotten',
] as const)('a build with %s is caught', checkBites, 600_000);
