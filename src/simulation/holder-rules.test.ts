import { expect, test } from 'vitest';
import type { ArrivedOrder } from './fake-runner.js';
import { HolderRules } from './holder-rules.js';

interface Times {
  readonly thawedAt?: number;
  readonly healedAt?: number;
  readonly isFenced?: boolean;
  readonly isSettled?: boolean;
}

type ShortOrder = readonly [holder: string, fence: number, at: number];

function judged(times: Times, orders: readonly ShortOrder[]): readonly string[] {
  const rules: string[] = [];
  function thawedAt(): number {
    return times.thawedAt ?? -Infinity;
  }
  function healedAt(): number {
    return times.healedAt ?? -Infinity;
  }
  function isSettled(): boolean {
    return times.isSettled ?? true;
  }
  function report(rule: string): void {
    rules.push(rule);
  }
  const isFenced = times.isFenced ?? false;
  const judge = new HolderRules({ report, isFenced, thawedAt, healedAt, isSettled });
  for (const [holder, fence, at] of orders) {
    const order: ArrivedOrder = { runner: 'r', holder, fence, at, isTaken: true };
    judge.arrived(order);
  }
  return rules;
}

test('two holders keep the lease between them', () => {
  expect(
    judged({}, [
      ['a', 2, 0],
      ['b', 4, 2999],
    ]),
  ).toEqual(['two-holders']);
  expect(
    judged({}, [
      ['a', 2, 0],
      ['b', 4, 3000],
    ]),
  ).toEqual([]);
  expect(
    judged({}, [
      ['a', 2, 0],
      ['a', 4, 10],
    ]),
  ).toEqual([]);
});
test('a fence belongs to one holder and never falls', () => {
  expect(
    judged({}, [
      ['a', 2, 0],
      ['b', 2, 9000],
    ]),
  ).toEqual(['two-holders-with-one-fence']);
  expect(
    judged({}, [
      ['a', 4, 0],
      ['b', 2, 9000],
    ]),
  ).toEqual(['lower-fence']);
});
test('orders right after a thaw or a heal, and turns out of touch where fenced, are excused', () => {
  expect(
    judged({ thawedAt: 1900 }, [
      ['a', 2, 0],
      ['b', 4, 2000],
    ]),
  ).toEqual([]);
  expect(
    judged({ healedAt: -500 }, [
      ['a', 2, 0],
      ['b', 4, 2000],
    ]),
  ).toEqual(['two-holders']);
  const unsettled = { isFenced: true, isSettled: false };
  expect(
    judged(unsettled, [
      ['a', 2, 0],
      ['b', 4, 2000],
    ]),
  ).toEqual([]);
  expect(
    judged({ isFenced: true }, [
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
  const judge = new HolderRules({ ...settings, isSettled: always });
  judge.leads('a', 2);
  judge.leads('a', 2);
  judge.leads('b', 4);
  expect(rules).toEqual([]);
  judge.leads('b', 2);
  expect(rules).toEqual(['two-leaders-in-one-epoch']);
});
