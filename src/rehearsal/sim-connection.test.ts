import { expect, test } from 'vitest';
import { bite } from './storms.js';
test.each([
  'emptied-ignored',
  'versions-unchecked',
  'yes-unsynced',
  'unsure-as-no',
  'room-forgotten',
] as const)(
  'a build with %s is caught',
  async (wrong: Parameters<typeof bite>[0]) => {
    expect(await bite(wrong)).toEqual([]);
  },
  600_000,
);
