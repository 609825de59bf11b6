import { expect, test } from 'vitest';
import { moment } from '../common/Ids.js';
import { FreshnessConfirmation } from './FreshnessConfirmation.js';

function checkOrder(): void {
  const confirmation = new FreshnessConfirmation(0);
  confirmation.add({ child: 'a', nonce: 1, members: ['a'] });
  const first = confirmation.begin(moment(0));
  confirmation.add({ child: 'b', nonce: 2, members: [] });
  expect(confirmation.begin(moment(10))).toBeUndefined();
  expect(confirmation.end(first ?? 0)).toEqual([{ child: 'a', nonce: 1, members: ['a'] }]);
  // An ask that came in while the round was under way is not returned by it.
  const second = confirmation.begin(moment(20));
  expect(confirmation.end(first ?? 0)).toEqual([]);
  expect(confirmation.end(second ?? 0)).toEqual([{ child: 'b', nonce: 2, members: [] }]);
}
test('an ask is returned only by a round begun after it', checkOrder);
