import { expect, test } from 'vitest';
import { moment } from '../common/Ids.js';
import { Vouching } from './FreshnessConfirmation.js';

function checkOrder(): void {
  const vouching = new Vouching(0);
  vouching.add({ child: 'a', nonce: 1, members: ['a'] });
  const first = vouching.begin(moment(0));
  vouching.add({ child: 'b', nonce: 2, members: [] });
  expect(vouching.begin(moment(10))).toBeUndefined();
  expect(vouching.end(first ?? 0)).toEqual([{ child: 'a', nonce: 1, members: ['a'] }]);
  // An ask that came in while the round was under way is not returned by it.
  const second = vouching.begin(moment(20));
  expect(vouching.end(first ?? 0)).toEqual([]);
  expect(vouching.end(second ?? 0)).toEqual([{ child: 'b', nonce: 2, members: [] }]);
}
test('an ask is returned only by a round begun after it', checkOrder);
