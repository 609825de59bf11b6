import { expect, test } from 'vitest';
import { bite } from './storms.js';
test.each([
  'emptied-ignored',
  'versions-unchecked',
  'yes-unsynced',
  'unsure-as-no',
  'room-forgotten',
] as const)(
  'the simulator detects the mutation %s',
  async (mutation: Parameters<typeof bite>[0]) => {
    expect(await bite(mutation)).toEqual([]);
  },
  600_000,
);
