import { expect, test } from 'vitest';
import { checkMutation } from './storms.js';
test.each([
  'emptied-ignored',
  'versions-unchecked',
  'yes-unsynced',
  'unsure-as-no',
  'room-forgotten',
] as const)(
  'the simulator detects the mutation %s',
  async (mutation: Parameters<typeof checkMutation>[0]) => {
    expect(await checkMutation(mutation)).toEqual([]);
  },
  600_000,
);
