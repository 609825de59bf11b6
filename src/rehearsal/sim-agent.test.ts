import { expect, test } from 'vitest';
import { storm } from './storms.js';

async function checkEdges(): Promise<void> {
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
}
test('no rule breaks when edge machines die, freeze or are cut off', checkEdges, 600_000);
