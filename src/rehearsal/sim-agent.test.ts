import { expect, test } from 'vitest';
import { storm } from './storms.js';
test('no rule breaks when edge machines die, freeze or are cut off', async () => {
  expect(
    await storm(3000, 30, [
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
