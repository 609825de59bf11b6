import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import { FreshnessConfirmation } from './freshness-confirmation.js';

test('a request is replaced only after the round trip of slow links has passed as well', () => {
  const confirmation = new FreshnessConfirmation(0);
  confirmation.enqueue({ child: 'a', nonce: 1, members: [] });
  const first = confirmation.begin(moment(0), 500);
  expect(confirmation.begin(moment(740), 500)).toBeUndefined();
  expect(confirmation.complete(first ?? 0)).toEqual([{ child: 'a', nonce: 1, members: [] }]);
  confirmation.enqueue({ child: 'a', nonce: 2, members: [] });
  const second = confirmation.begin(moment(800), 500);
  const third = confirmation.begin(moment(1550), 500);
  expect(confirmation.complete(second ?? 0)).toEqual([]);
  expect(confirmation.complete(third ?? 0)).toEqual([{ child: 'a', nonce: 2, members: [] }]);
});

test('a request that is sent again confirms only its original batch', () => {
  const confirmation = new FreshnessConfirmation(0);
  expect(confirmation.retry(moment(0))).toBeUndefined();
  const request = { child: 'a', nonce: 1, members: [] };
  confirmation.enqueue(request);
  const nonce = confirmation.begin(moment(0));
  confirmation.enqueue({ child: 'b', nonce: 2, members: [] });
  expect(confirmation.retry(moment(100))).toBeUndefined();
  expect(confirmation.retry(moment(250))).toBe(nonce);
  expect(confirmation.retry(moment(300))).toBeUndefined();
  expect(confirmation.complete(nonce ?? 0)).toEqual([request]);
});

test('a child request is confirmed only by a request that was sent after it was received', () => {
  const confirmation = new FreshnessConfirmation(0);
  confirmation.enqueue({ child: 'a', nonce: 1, members: ['a'] });
  const first = confirmation.begin(moment(0));
  confirmation.enqueue({ child: 'b', nonce: 2, members: [] });
  expect(confirmation.begin(moment(10))).toBeUndefined();
  expect(confirmation.complete(first ?? 0)).toEqual([{ child: 'a', nonce: 1, members: ['a'] }]);
  // A request that is received while another is in flight is not confirmed by that one.
  const second = confirmation.begin(moment(20));
  expect(confirmation.complete(first ?? 0)).toEqual([]);
  expect(confirmation.complete(second ?? 0)).toEqual([{ child: 'b', nonce: 2, members: [] }]);
});
