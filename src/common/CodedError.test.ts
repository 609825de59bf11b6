import { expect, test } from 'vitest';
import { ERROR_CODES } from './CodedError.js';

function checks(): void {
  for (const row of Object.values(ERROR_CODES)) {
    if (row.unsure) expect([429, 503]).not.toContain(row.status);
    if (row.status === 503 || row.status === 429) expect(row.retryAfter).toBeGreaterThan(0);
  }
}
test('no defect that may have run work is told as a turning away', checks);
