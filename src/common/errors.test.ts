import { expect, test } from 'vitest';
import { ERROR_RESPONSES, NoLeaderError, toHaretrackError } from './errors.js';
test('no defect that may have run work is told as a turning away', () => {
  for (const row of Object.values(ERROR_RESPONSES)) {
    if (row.isOutcomeUnknown) expect([429, 503]).not.toContain(row.status);
    if (row.status === 503 || row.status === 429) expect(row.retryAfterSeconds).toBeGreaterThan(0);
  }
});
test('an error without a kind of its own is malformed', () => {
  const error = new NoLeaderError('nobody leads');
  expect(toHaretrackError(error)).toBe(error);
  expect(toHaretrackError(new Error('no number')).code).toBe('malformed');
  expect(toHaretrackError(new Error('no number')).message).toBe('no number');
  expect(toHaretrackError('text').message).toBe('text');
});
