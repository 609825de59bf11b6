import { expect, test } from 'vitest';
import { runSeeds } from './storms.js';
test('no rule is broken when runners restart, freeze, lose capacity or leave while the leader changes', async () => {
  expect(
    await runSeeds(4000, 30, [
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
