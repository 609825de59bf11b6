import fc from 'fast-check';
import { expect, test } from 'vitest';
import { moment } from './ids.js';
import { SlidingMaximum } from './sliding-maximum.js';

const WINDOW_MS = 100;

test('a larger value counts at once, a smaller one when the larger has left the window', () => {
  const maximum = new SlidingMaximum(WINDOW_MS);
  expect(maximum.value(moment(0))).toBe(0);
  maximum.set(moment(0), 9);
  maximum.set(moment(500), 3);
  // The value 9 was current until 500, so it leaves the window at 600.
  expect(maximum.value(moment(599))).toBe(9);
  expect(maximum.value(moment(600))).toBe(3);
  maximum.set(moment(610), 7);
  expect(maximum.value(moment(610))).toBe(7);
});

test('the maximum is that of all values that were current within the window', () => {
  const steps = fc.array(fc.tuple(fc.nat(40), fc.nat(9)), { minLength: 1, maxLength: 60 });
  fc.assert(
    fc.property(steps, (drawn) => {
      const maximum = new SlidingMaximum(WINDOW_MS);
      const set: { readonly at: number; readonly value: number }[] = [{ at: 0, value: 0 }];
      let now = 0;
      for (const [afterMs, value] of drawn) {
        now += afterMs;
        maximum.set(moment(now), value);
        set.push({ at: now, value });
        const isInWindow = (index: number): boolean =>
          now - (set[index + 1]?.at ?? now) < WINDOW_MS;
        const inWindow = set.filter((_, index) => isInWindow(index));
        expect(maximum.value(moment(now))).toBe(Math.max(...inWindow.map((each) => each.value)));
      }
    }),
    { seed: 5 },
  );
});
