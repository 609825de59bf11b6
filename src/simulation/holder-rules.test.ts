import { expect, test } from 'vitest';
import type { ArrivedOrder } from './fake-runner.js';
import { HolderRules } from './holder-rules.js';

interface Circumstances {
  readonly thawedAt?: number;
  readonly healedAt?: number;
  readonly isFenced?: boolean;
  readonly isSettled?: boolean;
}

type ShortOrder = readonly [holder: string, fence: number, at: number];

function brokenRules(
  circumstances: Circumstances,
  orders: readonly ShortOrder[],
): readonly string[] {
  const rules: string[] = [];
  function thawedAt(): number {
    return circumstances.thawedAt ?? -Infinity;
  }
  function healedAt(): number {
    return circumstances.healedAt ?? -Infinity;
  }
  function isSettled(): boolean {
    return circumstances.isSettled ?? true;
  }
  function report(rule: string): void {
    rules.push(rule);
  }
  const isFenced = circumstances.isFenced ?? false;
  const judge = new HolderRules({ report, isFenced, thawedAt, healedAt, isSettledFor: isSettled });
  for (const [holder, fence, at] of orders) {
    const order: ArrivedOrder = { runner: 'r', holder, fence, at, isAccepted: true };
    judge.orderArrived(order);
  }
  return rules;
}

test('orders of two holders are at least the lease apart', () => {
  expect(
    brokenRules({}, [
      ['a', 2, 0],
      ['b', 4, 2999],
    ]),
  ).toEqual(['two-holders']);
  expect(
    brokenRules({}, [
      ['a', 2, 0],
      ['b', 4, 3000],
    ]),
  ).toEqual([]);
  expect(
    brokenRules({}, [
      ['a', 2, 0],
      ['a', 4, 10],
    ]),
  ).toEqual([]);
});
test('a fence belongs to one holder and never decreases', () => {
  expect(
    brokenRules({}, [
      ['a', 2, 0],
      ['b', 2, 9000],
    ]),
  ).toEqual(['two-holders-with-one-fence']);
  expect(
    brokenRules({}, [
      ['a', 4, 0],
      ['b', 2, 9000],
    ]),
  ).toEqual(['lower-fence']);
});
test('the lease gap is not checked right after a thaw or a heal, or in an unsettled core with fences', () => {
  expect(
    brokenRules({ thawedAt: 1900 }, [
      ['a', 2, 0],
      ['b', 4, 2000],
    ]),
  ).toEqual([]);
  expect(
    brokenRules({ healedAt: -500 }, [
      ['a', 2, 0],
      ['b', 4, 2000],
    ]),
  ).toEqual(['two-holders']);
  const unsettled = { isFenced: true, isSettled: false };
  expect(
    brokenRules(unsettled, [
      ['a', 2, 0],
      ['b', 4, 2000],
    ]),
  ).toEqual([]);
  expect(
    brokenRules({ isFenced: true }, [
      ['a', 2, 0],
      ['b', 4, 2000],
    ]),
  ).toEqual(['two-holders']);
});
test('an epoch has one leader', () => {
  const rules: string[] = [];
  function report(rule: string): void {
    rules.push(rule);
  }
  function never(): number {
    return -Infinity;
  }
  function always(): boolean {
    return true;
  }
  const settings = { report, isFenced: false, thawedAt: never, healedAt: never };
  const judge = new HolderRules({ ...settings, isSettledFor: always });
  judge.leads('a', 2);
  judge.leads('a', 2);
  judge.leads('b', 4);
  expect(rules).toEqual([]);
  judge.leads('b', 2);
  expect(rules).toEqual(['two-leaders-in-one-epoch']);
});
