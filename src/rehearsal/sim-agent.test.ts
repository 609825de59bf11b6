import { expect, test } from 'vitest';
import { runSeeds } from './storms.js';
test('no rule is broken when agents and proxies die, freeze or are cut off', async () => {
  expect(
    await runSeeds(3000, 30, [
      'kill-link',
      'freeze-link',
      'kill-flow',
      'freeze-flow',
      'isolate-link',
      'cut-link',
      'isolate-core',
    ]),
  ).toEqual([]);
}, 600_000);
