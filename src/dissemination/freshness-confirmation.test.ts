import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import { FreshnessConfirmation } from './freshness-confirmation.js';
test('a round is begun anew only after a span in which slow links would have ended it', () => {
  const confirmation = new FreshnessConfirmation(0);
  confirmation.add({ child: 'a', nonce: 1, members: [] });
  const first = confirmation.begin(moment(0), 500);
  expect(confirmation.begin(moment(740), 500)).toBeUndefined();
  expect(confirmation.end(first ?? 0)).toEqual([{ child: 'a', nonce: 1, members: [] }]);
  confirmation.add({ child: 'a', nonce: 2, members: [] });
  const second = confirmation.begin(moment(800), 500);
  const third = confirmation.begin(moment(1550), 500);
  expect(confirmation.end(second ?? 0)).toEqual([]);
  expect(confirmation.end(third ?? 0)).toEqual([{ child: 'a', nonce: 2, members: [] }]);
});
test('a round that is asked again returns what it began with', () => {
  const confirmation = new FreshnessConfirmation(0);
  expect(confirmation.repeat(moment(0))).toBeUndefined();
  const ask = { child: 'a', nonce: 1, members: [] };
  confirmation.add(ask);
  const nonce = confirmation.begin(moment(0));
  confirmation.add({ child: 'b', nonce: 2, members: [] });
  expect(confirmation.repeat(moment(100))).toBeUndefined();
  expect(confirmation.repeat(moment(250))).toBe(nonce);
  expect(confirmation.repeat(moment(300))).toBeUndefined();
  expect(confirmation.end(nonce ?? 0)).toEqual([ask]);
});

test('an ask is returned only by a round begun after it', () => {
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
});
