import { expect, test } from 'vitest';
import { has, idsOf, queued, withAll, without } from './message-text.js';

/** Ids around the limits of one 16-bit character (65,536) and of half its range (32,768). */
const IDS = [70_000, 3, 65_536 + 3, 32_768, 65_535, 32_767, 65_536, 0];

function byNumber(a: number, b: number): number {
  return a - b;
}

test('distinguishes message ids beyond the range of one character', () => {
  const sorted = [...IDS].sort(byNumber);
  expect(idsOf(withAll('', IDS))).toEqual(sorted);
  const queue = queued(queued('', IDS), [3, 65_536]);
  expect(idsOf(queue)).toEqual(IDS);
  const shorter = without(queue, 65_536 + 3);
  expect(has(queue, 65_536 + 3)).toBe(true);
  expect(has(shorter, 65_536 + 3)).toBe(false);
  expect(has(shorter, 3)).toBe(true);
  expect(idsOf(shorter)).toEqual([70_000, 3, 32_768, 65_535, 32_767, 65_536, 0]);
});
