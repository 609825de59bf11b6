import { expect, test } from 'vitest';
import { ERROR_RESPONSES, NoLeaderError, toHaretrackError } from './errors.js';
test('no error with an unknown outcome has the status of a rejection', () => {
  for (const response of Object.values(ERROR_RESPONSES)) {
    if (response.isOutcomeUnknown) expect([429, 503]).not.toContain(response.status);
    if (response.status === 503 || response.status === 429)
      expect(response.retryAfterSeconds).toBeGreaterThan(0);
  }
});
test('an error of another class counts as malformed input', () => {
  const error = new NoLeaderError('no leader is known');
  expect(toHaretrackError(error)).toBe(error);
  expect(toHaretrackError(new Error('no number')).code).toBe('malformed');
  expect(toHaretrackError(new Error('no number')).message).toBe('no number');
  expect(toHaretrackError('text').message).toBe('text');
});
