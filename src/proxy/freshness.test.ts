import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import { Freshness } from './freshness.js';
test('a confirmation requested by a previous incarnation does not make the current one fresh', () => {
  const former = new Freshness(2500, 1000);
  const latter = new Freshness(2500, 2000);
  const nonce = former.startRequest(moment(0));
  latter.startRequest(moment(1000));
  // It was requested before the restart, so it does not cover what has changed since.
  latter.onConfirmed(nonce, true);
  expect(latter.isFresh(moment(1001))).toBe(false);
  former.onConfirmed(nonce, true);
  expect([former.isFresh(moment(2499)), former.isFresh(moment(2500))]).toEqual([true, false]);
});
