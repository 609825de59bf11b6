import fc from 'fast-check';
import { expect, test } from 'vitest';
import type { Attempt, History, Order, OrderRecord, ReadRecord } from './history.js';
import { registerRun } from './diagnosis.js';
import { checkHistory } from './history-check.js';
import { settingsOf, viewOf } from './orders.js';
import { isRegisterLegalExhaustive, isZoneLegalExhaustive } from './reference-search.js';
import { checkRegisterRules } from './register-rules.js';
import { searchRegister } from './register-search.js';
import { isZoneLegal, zoneCandidateOf } from './zone-search.js';

/** Compares the searches with an exhaustive search of all orderings on small random histories, legal and illegal. */

const RUN_COUNT = 4000;
const OPTIONS = { lateMs: 3, silenceMs: 2, amend: amendOnce };

/** A change can't be applied to a document that ends with the text of the change. */
function amendOnce(document: string, change: string): string | undefined {
  return document.endsWith(change) ? undefined : `${document}+${change}`;
}

const span = fc.tuple(fc.integer({ min: 0, max: 14 }), fc.integer({ min: 0, max: 6 }));

function attemptOf([[sentAt, lasts], outcome]: [
  [number, number],
  Attempt['outcome'] | 'unanswered',
]): Attempt {
  if (outcome === 'unanswered')
    return { node: 'a', sentAt, endedAt: undefined, outcome: 'unclear' };
  return { node: 'a', sentAt, endedAt: sentAt + lasts, outcome };
}

const attempts = fc.array(
  fc
    .tuple(span, fc.constantFrom('accepted', 'accepted', 'refused', 'unclear', 'unanswered'))
    .map(attemptOf),
  { minLength: 1, maxLength: 2 },
);

/** Marks the unanswered attempts as started late by a node, `afterMs` after they were sent. */
function withLateStarts(attempts: Attempt[], afterMs: number | undefined): Attempt[] {
  const taken: Attempt[] = [];
  for (const attempt of attempts) {
    const isLate = afterMs !== undefined && attempt.endedAt === undefined;
    taken.push(isLate ? { ...attempt, takenLateAt: attempt.sentAt + afterMs } : attempt);
  }
  return taken;
}

const zoneAttempts = fc
  .tuple(attempts, fc.option(fc.integer({ min: 2, max: 8 }), { nil: undefined }))
  .map(zoneAttemptsOf);

function zoneAttemptsOf([attempts, afterMs]: [Attempt[], number | undefined]): Attempt[] {
  return withLateStarts(attempts, afterMs);
}

const change: fc.Arbitrary<Order> = fc.record({
  kind: fc.constantFrom('put', 'put', 'patch'),
  base: fc.integer({ min: 0, max: 3 }),
  version: fc.integer({ min: 1, max: 4 }),
  text: fc.constantFrom('p', 'q'),
  isInvalid: fc.integer({ min: 0, max: 9 }).map(isZero),
});

/** A change whose version follows its base directly, so that many of the histories are legal. */
const chainedChange: fc.Arbitrary<Order> = fc
  .tuple(
    fc.constantFrom('put', 'put', 'patch'),
    fc.integer({ min: 0, max: 2 }),
    fc.constantFrom('p', 'q'),
  )
  .map(chainedChangeOf);

function chainedChangeOf([kind, base, text]: ['put' | 'patch', number, string]): Order {
  return { kind, base, version: base + 1, text, isInvalid: false };
}

const zoneOrder: fc.Arbitrary<Order> = fc.record({
  kind: fc.constantFrom('evacuate', 'restore'),
  zone: fc.constant('z'),
});

function recordOf([order, tries]: [Order, Attempt[]], id: number): OrderRecord {
  return { id, operator: 'o', order, attempts: tries };
}

const TEXTS = ['p', 'q', '+p', 'p+q', 'q+p', 'p+q+p'] as const;

interface ReadPlan {
  readonly times: readonly [number, number];
  readonly version: number;
  readonly text: string;
  readonly isEvacuated: boolean;
}

function readOf({ times, version, text, isEvacuated }: ReadPlan, id: number): ReadRecord {
  const [sentAt, lasts] = times;
  const document = version === 0 ? undefined : { version, text };
  const evacuated = isEvacuated ? ['z'] : [];
  return { id, operator: 'o', node: 'a', sentAt, endedAt: sentAt + lasts, document, evacuated };
}

const readPlan: fc.Arbitrary<ReadPlan> = fc.record({
  times: span,
  version: fc.integer({ min: 0, max: 3 }),
  text: fc.constantFrom(...TEXTS),
  isEvacuated: fc.boolean(),
});

function isZero(value: number): boolean {
  return value === 0;
}

type HistoryPlan = [[Order, Attempt[]][], ReadPlan[]];

function historyOf([orders, reads]: HistoryPlan): History {
  return { orders: orders.map(recordOf), reads: reads.map(readOf) };
}

const registerHistory = fc
  .tuple(
    fc.array(fc.tuple(fc.oneof(chainedChange, chainedChange, change), attempts), { maxLength: 5 }),
    fc.array(readPlan, { maxLength: 3 }),
  )
  .map(historyOf);

const zoneHistory = fc
  .tuple(
    fc.array(fc.tuple(zoneOrder, zoneAttempts), { maxLength: 5 }),
    fc.array(readPlan, { maxLength: 4 }),
  )
  .map(historyOf);

class VerdictCounts {
  legal = 0;
  illegal = 0;

  add(isLegal: boolean): void {
    if (isLegal) this.legal += 1;
    else this.illegal += 1;
  }
}

function compareRegister(verdicts: VerdictCounts, history: History): void {
  const settings = settingsOf(OPTIONS);
  const { changes } = viewOf(history, settings);
  const isLegal = isRegisterLegalExhaustive(changes, history.reads, amendOnce);
  verdicts.add(isLegal);
  const found = searchRegister(registerRun(changes, history.reads, settings.amend));
  expect(found.isLegal).toBe(isLegal);
  // A violation shown by a few records must make the whole run illegal.
  if (isLegal) expect(checkRegisterRules(changes, history.reads, settings.amend)).toEqual([]);
  else
    expect(
      checkHistory({ ...history, reads: history.reads.map(withoutZones) }, OPTIONS),
    ).not.toEqual([]);
}
function withoutZones(read: ReadRecord): ReadRecord {
  return { ...read, evacuated: undefined };
}
test('the search of the register agrees with the exhaustive search', () => {
  const verdicts = new VerdictCounts();
  fc.assert(
    fc.property(registerHistory, (history: History) => compareRegister(verdicts, history)),
    {
      numRuns: RUN_COUNT,
    },
  );
  expect(verdicts.legal).toBeGreaterThan(RUN_COUNT / 20);
  expect(verdicts.illegal).toBeGreaterThan(RUN_COUNT / 20);
});

function compareZones(verdicts: VerdictCounts, history: History): void {
  const [zone] = viewOf(history, settingsOf(OPTIONS)).zones;
  if (!zone) return;
  const isLegal = isZoneLegalExhaustive(zone);
  verdicts.add(isLegal);
  expect(isZoneLegal({ orders: zone.orders.map(zoneCandidateOf), reads: zone.reads })).toBe(
    isLegal,
  );
}
test('the search of a zone agrees with the exhaustive search', () => {
  const verdicts = new VerdictCounts();
  fc.assert(
    fc.property(zoneHistory, (history: History) => compareZones(verdicts, history)),
    { numRuns: RUN_COUNT },
  );
  expect(verdicts.legal).toBeGreaterThan(RUN_COUNT / 20);
  expect(verdicts.illegal).toBeGreaterThan(RUN_COUNT / 20);
});
