import { expect, test } from 'vitest';
import { Judge } from './judge.js';
import type { BackRecord, CallerRecord, EventRecord } from './records.js';

const caller: CallerRecord = {
  what: 'call',
  id: 'q1',
  type: 'check',
  model: 'm',
  once: true,
  flow: 'f',
  sentAt: 10_000,
  endedAt: 10_100,
  status: 200,
  outcome: 'done',
  run: 'r1',
  isWhole: true,
  fault: '',
  retryAfter: 0,
  table: 5,
};
const run: BackRecord = { at: 10_050, what: 'run', runner: 'a', id: 'q1', run: 'r1' };
const order: BackRecord = {
  at: 1000,
  what: 'order',
  runner: 'a',
  holder: 'h1',
  model: 'm',
  adapter: '',
  order: 'o',
};
function rulesOf(
  callers: readonly CallerRecord[],
  backs: readonly BackRecord[],
  events: readonly EventRecord[] = [],
): string[] {
  const rules = new Set<string>();
  for (const violation of new Judge({
    callers,
    backs,
    events,
    zones: new Map([['a', 'north']]),
    lateness: new Map([['check', 20_000]]),
  }).judge())
    rules.add(violation.rule);
  return [...rules];
}
function withSecondRequest(record: BackRecord): BackRecord[] {
  return [record, { ...record, id: 'q2' }];
}
test('records without a violation pass', () => {
  expect(
    rulesOf(
      [caller],
      [run, order, { ...order, at: 9000, holder: 'h2' }],
      [{ at: 9500, what: 'table-accepted', number: 5 }],
    ),
  ).toEqual([]);
});
test('each rule reports records that break it', () => {
  expect(rulesOf([caller], [run, { ...run, run: 'r2' }])).toEqual(['run-twice']);
  expect(
    rulesOf(
      [{ ...caller, status: 503, outcome: 'turned-away', isWhole: false, retryAfter: 1 }],
      [run],
    ),
  ).toEqual(['ran-though-turned-away']);
  expect(
    rulesOf(
      [{ ...caller, status: 503, outcome: 'turned-away', isWhole: false, retryAfter: 0 }],
      [],
    ),
  ).toEqual(['held-back']);
  expect(
    rulesOf(
      [
        {
          ...caller,
          status: 503,
          outcome: 'turned-away',
          isWhole: false,
          retryAfter: 1,
          endedAt: 29_000,
        },
      ],
      [],
    ),
  ).toEqual(['held-back']);
  expect(rulesOf([{ ...caller, fault: 'no last line' }], [run])).toEqual(['not-whole']);
  expect(rulesOf([{ ...caller, fault: 'stitched of two runs' }], [run])).toEqual(['stitched']);
  expect(rulesOf([{ ...caller, run: 'other' }], [run])).toEqual(['not-whole']);
  expect(rulesOf([caller], [{ at: 6000, what: 'mark', id: 'a', leaving: true }, run])).toEqual([
    'leaving-got-work',
  ]);
  expect(rulesOf([caller], [run], [{ at: 5000, what: 'zone-emptied', zone: 'north' }])).toEqual([
    'emptied-got-work',
  ]);
  expect(rulesOf([caller], [run], [{ at: 7000, what: 'table-accepted', number: 6 }])).toEqual([
    'old-table',
  ]);
  expect(
    rulesOf(
      [],
      [],
      [
        { at: 1, what: 'table-accepted', number: 6 },
        { at: 2, what: 'table-read', number: 5 },
      ],
    ),
  ).toEqual(['lost-table']);
  expect(rulesOf([], [order, { ...order, at: 2000, holder: 'h2' }])).toEqual(['two-holders']);
  expect(rulesOf([], [{ ...order, overRoom: true }])).toEqual(['over-room']);
  expect(rulesOf([], [{ at: 1, what: 'fetch', over: true }])).toEqual(['over-store']);
  expect(
    rulesOf(
      [{ ...caller, outcome: 'broken', isWhole: false }],
      [run],
      [{ at: 10_070, what: 'planned-stop', node: 'f' }],
    ),
  ).toEqual([]);
  expect(
    rulesOf(
      [{ ...caller, outcome: 'broken', isWhole: false, endedAt: 11_000 }],
      [run],
      [{ at: 10_500, what: 'planned-stop', node: 'f' }],
    ),
  ).toEqual(['cut-by-plan']);
  const flood: BackRecord[] = [{ at: 0, what: 'boot', runner: 'a' }];
  for (let index = 0; index < 40; index += 1) flood.push({ ...run, id: `x${index}`, at: 500 });
  expect(rulesOf([], flood)).toEqual(['cold-flooded']);
  const lookup: CallerRecord = { ...caller, once: false };
  const manyRuns: BackRecord[] = [];
  for (let index = 0; index < 40; index += 1) manyRuns.push(run);
  expect(rulesOf([lookup], manyRuns)).toEqual(['too-many-repeats']);
  // The retry limits apply to each service separately.
  const other: CallerRecord = { ...lookup, id: 'q2', model: 'n' };
  const fewRetries: BackRecord[] = [run, run, run, run, run].flatMap(withSecondRequest);
  expect(rulesOf([lookup, other], fewRetries)).toEqual([]);
  const markedTwice: BackRecord[] = [
    { at: 1000, what: 'mark', id: 'a', leaving: true },
    { at: 2000, what: 'mark', id: 'a', leaving: true },
    { at: 3000, what: 'mark', id: 'a', leaving: false },
  ];
  expect(rulesOf([caller], [...markedTwice, run])).toEqual([]);
  const markedThenShown: BackRecord[] = [
    { at: 6000, what: 'mark', id: 'a', leaving: true, revision: 7 },
    { at: 9000, what: 'shown', revision: 8 },
  ];
  expect(rulesOf([caller], [...markedThenShown, run])).toEqual([]);
  expect(rulesOf([], [...markedThenShown, { ...order, at: 12_100, verb: 'load' }])).toEqual([
    'leaving-got-work',
  ]);
  expect(
    rulesOf(
      [],
      [{ ...order, at: 11_000, verb: 'load' }],
      [{ at: 5000, what: 'zone-emptied', zone: 'north' }],
    ),
  ).toEqual(['emptied-got-work']);
});
