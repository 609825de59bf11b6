import { expect, test } from 'vitest';
import { CodedError, codedErrorOf, ERROR_CODES } from './coded-error.js';
test('no defect that may have run work is told as a turning away', () => {
  for (const row of Object.values(ERROR_CODES)) {
    if (row.unsure) expect([429, 503]).not.toContain(row.status);
    if (row.status === 503 || row.status === 429) expect(row.retryAfter).toBeGreaterThan(0);
  }
});
test('an error without a kind of its own is malformed', () => {
  const error = new CodedError('no-leader', 'nobody leads');
  expect(codedErrorOf(error)).toBe(error);
  expect(codedErrorOf(new Error('no number')).kind).toBe('malformed');
  expect(codedErrorOf(new Error('no number')).message).toBe('no number');
  expect(codedErrorOf('text').message).toBe('text');
});
