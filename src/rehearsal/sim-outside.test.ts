import { expect, test } from 'vitest';
import { storm } from './storms.js';
test('no rule breaks when runners restart, go dark, shrink or leave while the holder changes', async () => {
  expect(
    await storm(4000, 30, [
      'restart-runner',
      'vanish-runner',
      'dark-runner',
      'mark-runner',
      'mark-dark-runner',
      'platform-down',
      'odd-list',
      'shrink-room',
      'lower-limit',
      'kill-mind',
      'freeze-mind',
    ]),
  ).toEqual([]);
}, 600_000);
