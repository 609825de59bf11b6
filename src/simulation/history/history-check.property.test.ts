import fc from 'fast-check';
import { expect, test } from 'vitest';
import type { Attempt, History, OrderRecord, PutOrder, ReadRecord } from './history.js';
import { checkHistory } from './history-check.js';
import {
  amendModel,
  runModel,
  withOrder,
  withRead,
  type AttemptPlan,
  type StepPlan,
} from './model-runs.js';
import { settingsOf, viewOf, type KnownZoneOrder } from './orders.js';
import { isRegisterLegalExhaustive, isZoneLegalExhaustive } from './reference-search.js';
import type { HistoryRule, Violation } from './violation.js';

/**
 * Histories of the sequential model are always accepted; each kind of violation added to one is reported under its
 * rule.
 */

const RUN_COUNT = 300;
const ID_OFFSET = 1_000_000;
const PAUSE_MS = 10_000;

const attemptPlan: fc.Arbitrary<AttemptPlan> = fc.record({
  deliveryDelayMs: fc.oneof(fc.integer({ min: 0, max: 300 }), fc.integer({ min: 0, max: 3500 })),
  replyDelayMs: fc.integer({ min: 0, max: 300 }),
  isReplyLost: fc.integer({ min: 0, max: 3 }).map(isZero),
  isLost: fc.integer({ min: 0, max: 7 }).map(isZero),
});

const stepPlan: fc.Arbitrary<StepPlan> = fc.record({
  operator: fc.integer({ min: 0, max: 7 }),
  thinkMs: fc.integer({ min: 0, max: 400 }),
  kind: fc.constantFrom('put', 'patch', 'evacuate', 'restore', 'read'),
  zone: fc.constantFrom('north', 'south'),
  versionStep: fc.integer({ min: 1, max: 3 }),
  isInvalid: fc.integer({ min: 0, max: 9 }).map(isZero),
  isRepeat: fc.integer({ min: 0, max: 5 }).map(isZero),
  attempts: fc.array(attemptPlan, { minLength: 1, maxLength: 4 }),
});

const plans = fc.array(stepPlan, { maxLength: 60 });
const OPTIONS = { amend: amendModel };

function isZero(value: number): boolean {
  return value === 0;
}

function check(history: History): readonly Violation[] {
  return checkHistory(history, OPTIONS);
}

function endOf(history: History): number {
  let end = 0;
  for (const { attempts } of history.orders) {
    for (const { sentAt, endedAt } of attempts) end = Math.max(end, endedAt ?? sentAt);
  }
  for (const { endedAt } of history.reads) end = Math.max(end, endedAt);
  return end;
}

function lastRead(history: History): ReadRecord {
  const last = history.reads.at(-1);
  if (!last) throw new Error('a run of the model must end with a read');
  return last;
}

function attempt(sentAt: number, outcome: Attempt['outcome']): Attempt {
  return { node: 'model', sentAt, endedAt: sentAt + 1, outcome };
}

function readAt(sentAt: number, from: ReadRecord): ReadRecord {
  return { ...from, id: ID_OFFSET + sentAt, sentAt, endedAt: sentAt + 1 };
}

function putOn(history: History, text: string): PutOrder {
  const base = lastRead(history).document?.version ?? 0;
  return { kind: 'put', base, version: base + 1, text, isInvalid: false };
}

function record(
  id: number,
  order: OrderRecord['order'],
  attempts: readonly Attempt[],
): OrderRecord {
  return { id: ID_OFFSET + id, operator: 'other', order, attempts };
}

function expectRule(history: History, rules: readonly HistoryRule[]): void {
  const found: string[] = [];
  for (const violation of check(history)) found.push(violation.rule);
  expect(found).not.toEqual([]);
  expect(rules).toContain(found[0]);
}

function acceptModelRun(steps: StepPlan[]): void {
  expect(check(runModel(steps))).toEqual([]);
}
test('every run of the sequential model is accepted', () => {
  fc.assert(fc.property(plans, acceptModelRun), { numRuns: RUN_COUNT * 4 });
});

function refuseAccepted(steps: StepPlan[], pick: number): void {
  const history = runModel(steps);
  const accepted = history.orders.filter(wasAccepted);
  const chosen = accepted[pick % Math.max(1, accepted.length)];
  if (!chosen) return;
  const late = endOf(history) + PAUSE_MS;
  const orders = history.orders.map((order) => withLateRefusal(chosen, late, order));
  expectRule({ ...history, orders }, ['refused-after-accepted']);
}
function wasAccepted(order: OrderRecord): boolean {
  return order.attempts.some(isAccepted);
}
function isAccepted({ outcome }: Attempt): boolean {
  return outcome === 'accepted';
}
function withLateRefusal(chosen: OrderRecord, at: number, order: OrderRecord): OrderRecord {
  return order === chosen
    ? { ...order, attempts: [...order.attempts, attempt(at, 'refused')] }
    : order;
}
test('a refusal of an accepted order is reported', () => {
  fc.assert(fc.property(plans, fc.nat(1000), refuseAccepted), { numRuns: RUN_COUNT });
});

function acceptRival(steps: StepPlan[], pick: number): void {
  const history = runModel(steps);
  const winners = history.orders.filter(isAcceptedChange);
  const winner = winners[pick % Math.max(1, winners.length)];
  if (!winner || (winner.order.kind !== 'put' && winner.order.kind !== 'patch')) return;
  const order: PutOrder = { ...winner.order, kind: 'put', text: 'another text' };
  const late = endOf(history) + PAUSE_MS;
  const rival = record(1, order, [attempt(late, 'accepted')]);
  expectRule(withOrder(history, rival), ['two-accepted-on-one-base']);
}
function isAcceptedChange(order: OrderRecord): boolean {
  return wasAccepted(order) && (order.order.kind === 'put' || order.order.kind === 'patch');
}
test('a second acceptance on one base version is reported', () => {
  fc.assert(fc.property(plans, fc.nat(1000), acceptRival), { numRuns: RUN_COUNT });
});

function refuseWithoutWinner(steps: StepPlan[]): void {
  const history = runModel(steps);
  const late = endOf(history) + PAUSE_MS;
  const loser = record(1, putOn(history, 'refused'), [attempt(late, 'refused')]);
  const rival = record(2, putOn(history, 'never in force'), [attempt(late, 'unclear')]);
  const refused = withOrder(withOrder(history, loser), rival);
  const seen = withRead(refused, readAt(late + PAUSE_MS, lastRead(history)));
  expectRule(seen, ['refused-for-a-winner-that-never-was']);
}
test('a refusal without a competing order that took effect is reported', () => {
  fc.assert(fc.property(plans, refuseWithoutWinner), { numRuns: RUN_COUNT });
});

function loseAccepted(steps: StepPlan[]): void {
  const history = runModel(steps);
  const late = endOf(history) + PAUSE_MS;
  const lost = record(1, putOn(history, 'lost'), [attempt(late, 'accepted')]);
  const read = readAt(late + PAUSE_MS, lastRead(history));
  expectRule(withRead(withOrder(history, lost), read), ['lost-accepted']);
}
test('the loss of an accepted order is reported', () => {
  fc.assert(fc.property(plans, loseAccepted), { numRuns: RUN_COUNT });
});

function readOld(steps: StepPlan[]): void {
  const history = runModel(steps);
  const late = endOf(history) + PAUSE_MS;
  const last = lastRead(history);
  const order = putOn(history, 'newest');
  const newest = record(1, order, [attempt(late, 'accepted')]);
  const old = readAt(late + PAUSE_MS, last);
  const document = { version: order.version, text: order.text };
  const right = readAt(late + 2 * PAUSE_MS, { ...last, document });
  expectRule(withRead(withRead(withOrder(history, newest), old), right), ['stale-read']);
}
test('a read of an outdated configuration is reported', () => {
  fc.assert(fc.property(plans, readOld), { numRuns: RUN_COUNT });
});

function readAltered(steps: StepPlan[], pick: number): void {
  const history = runModel(steps);
  const chosen = history.reads[pick % history.reads.length];
  if (!chosen?.document) return;
  const document = { ...chosen.document, text: `${chosen.document.text}, altered` };
  const reads = history.reads.map(replaceRead.bind(undefined, chosen, { ...chosen, document }));
  expectRule({ ...history, reads }, ['read-not-as-sent']);
}
function replaceRead(chosen: ReadRecord, replacement: ReadRecord, read: ReadRecord): ReadRecord {
  return read === chosen ? replacement : read;
}
test('a document that no operator sent is reported', () => {
  fc.assert(fc.property(plans, fc.nat(1000), readAltered), { numRuns: RUN_COUNT });
});

function evacuateLate(steps: StepPlan[], isRestoreAccepted: boolean): void {
  const history = runModel(steps);
  const late = endOf(history) + PAUSE_MS;
  const first = record(1, { kind: 'evacuate', zone: 'north' }, [attempt(late, 'accepted')]);
  const restored = late + PAUSE_MS;
  const outcome = isRestoreAccepted ? 'accepted' : 'unclear';
  const second = record(2, { kind: 'restore', zone: 'north' }, [attempt(restored, outcome)]);
  const last = lastRead(history);
  const full = { ...last, evacuated: ['north', ...(last.evacuated ?? []).filter(isSouth)] };
  const read = readAt(restored + PAUSE_MS, full);
  const seen = withRead(withOrder(withOrder(history, first), second), read);
  if (isRestoreAccepted) expectRule(seen, ['late-evacuation']);
  else expect(check(seen)).toEqual([]);
}
function isSouth(zone: string): boolean {
  return zone === 'south';
}
test('a late copy of an evacuation is reported, but not if the outcome of the restore is unclear', () => {
  fc.assert(fc.property(plans, fc.boolean(), evacuateLate), { numRuns: RUN_COUNT });
});

/** Few enough steps for an exhaustive search. */
const smallPlans = fc.array(stepPlan, { maxLength: 8 });

const mutation = fc.record({
  target: fc.constantFrom('outcome', 'early answer', 'read', 'lost attempt'),
  pick: fc.nat(1000),
  other: fc.nat(1000),
  outcome: fc.constantFrom('accepted', 'refused', 'unclear'),
});
type Mutation = typeof mutation extends fc.Arbitrary<infer T> ? T : never;

function mutated(history: History, { target, pick, other, outcome }: Mutation): History {
  if (target === 'read') {
    const chosen = history.reads[pick % history.reads.length] ?? lastRead(history);
    const { document, evacuated } = history.reads[other % history.reads.length] ?? chosen;
    const reads = history.reads.map(
      replaceRead.bind(undefined, chosen, { ...chosen, document, evacuated }),
    );
    return { ...history, reads };
  }
  const chosen = history.orders[pick % Math.max(1, history.orders.length)];
  const index = other % Math.max(1, chosen?.attempts.length ?? 1);
  const before = chosen?.attempts[index];
  if (!chosen || !before) return history;
  let attempts: Attempt[];
  if (target === 'lost attempt') attempts = chosen.attempts.toSpliced(index, 1);
  else if (target === 'outcome') {
    attempts = chosen.attempts.with(index, {
      ...before,
      outcome,
      endedAt: before.endedAt ?? before.sentAt,
    });
  } else attempts = chosen.attempts.with(index, { ...before, endedAt: before.sentAt });
  const changed: OrderRecord = { ...chosen, attempts };
  return {
    ...history,
    orders: history.orders.map((order) => (order === chosen ? changed : order)),
  };
}

class VerdictCounts {
  legal = 0;
  illegal = 0;
}

function compareMutated(count: VerdictCounts, steps: StepPlan[], plan: Mutation): void {
  const history = mutated(runModel(steps), plan);
  const view = viewOf(history, settingsOf(OPTIONS));
  let isLegal = isRegisterLegalExhaustive(view.changes, history.reads, amendModel);
  for (const zone of view.zones) {
    const isRefused = zone.orders.some(wasRefused);
    isLegal = isLegal && !isRefused && isZoneLegalExhaustive(zone);
  }
  if (isLegal) count.legal += 1;
  else count.illegal += 1;
  expect(check(history).length === 0).toBe(isLegal);
}
function wasRefused(order: KnownZoneOrder): boolean {
  return order.refusals.length > 0;
}
test('a mutated history is rejected unless an exhaustive search shows that it is still legal', () => {
  const count = new VerdictCounts();
  fc.assert(
    fc.property(smallPlans, mutation, (steps: StepPlan[], plan: Mutation) =>
      compareMutated(count, steps, plan),
    ),
    {
      numRuns: RUN_COUNT * 5,
    },
  );
  expect(count.legal).toBeGreaterThan(RUN_COUNT / 4);
  expect(count.illegal).toBeGreaterThan(RUN_COUNT / 4);
});
