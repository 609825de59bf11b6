import { expect, test } from 'vitest';
import { TrackedRunner } from './tracked-runner.js';
import { at, LLM, requestOf, runnerOf } from './testing/dispatch-fixtures.js';

const ADAPTED = { adapter: 'a1' };
test('prompt tokens are pending until the first event or the end, once', () => {
  const account = new TrackedRunner(at(0), runnerOf('r'));
  const first = requestOf(at(0), 1);
  const second = requestOf(at(0), 2);
  account.addRequest(at(0), first);
  account.addRequest(at(0), second);
  expect(account.pendingPromptTokens).toBe(1200);
  first.isResponseStarted = true;
  account.onFirstEvent(first);
  expect(account.pendingPromptTokens).toBe(600);
  // What was counted off at its first event is not counted off again at its end.
  expect(account.removeRequest(first)).toBe(true);
  expect(account.pendingPromptTokens).toBe(600);
  expect(account.removeRequest(first)).toBe(false);
  expect(account.removeRequest(second)).toBe(true);
  expect([account.pendingPromptTokens, account.inFlight]).toEqual([0, 0]);
});
test('each failure in a row doubles the pause up to 4 s, and a success ends the row', () => {
  const account = new TrackedRunner(at(0), runnerOf('r'));
  account.eject(at(0));
  // A second failure within the pause is the same one.
  account.eject(at(100));
  expect([account.isBackingOff(at(499)), account.isBackingOff(at(500))]).toEqual([true, false]);
  account.eject(at(500));
  expect([account.isBackingOff(at(1499)), account.isBackingOff(at(1500))]).toEqual([true, false]);
  account.onSuccess();
  account.eject(at(2000));
  expect([account.isBackingOff(at(2499)), account.isBackingOff(at(2500))]).toEqual([true, false]);
  for (let failure = 0, now = 3000; failure < 6; failure += 1, now += 4000) account.eject(at(now));
  expect([account.isBackingOff(at(26_999)), account.isBackingOff(at(27_000))]).toEqual([
    true,
    false,
  ]);
});
test('what a runner denied to hold is believed for a while, or until it is told anew', () => {
  const facts = runnerOf('r');
  const account = new TrackedRunner(at(0), facts);
  const plain = requestOf(at(0), 1);
  const adapted = requestOf(at(0), 2, ADAPTED);
  account.onModelMissing(at(0), adapted);
  expect([account.hasModelUnit(at(1), adapted), account.hasModel(at(1), adapted)]).toEqual([
    false,
    true,
  ]);
  expect(account.hasModelUnit(at(1), plain)).toBe(true);
  // The same word again changes nothing; a new one does.
  account.update(at(2), { ...facts });
  expect(account.hasModelUnit(at(3), adapted)).toBe(false);
  account.update(at(4), { ...facts, slots: 32 });
  expect(account.hasModelUnit(at(5), adapted)).toBe(true);
  account.onModelMissing(at(10), plain);
  expect([account.hasModel(at(11), plain), account.hasModel(at(1510), plain)]).toEqual([
    false,
    true,
  ]);
});
test('what a runner got while cold counts for a second', () => {
  const account = new TrackedRunner(at(0), runnerOf('r', { coldMs: 2000 }));
  account.addRequest(at(0), requestOf(at(0), 1));
  account.addRequest(at(500), requestOf(at(0), 2));
  expect([account.warmUpRate(at(1049)), account.warmUpRate(at(1050))]).toEqual([2, 1]);
  account.addRequest(at(2000), requestOf(at(0), 3));
  expect([account.isWarmingUp(at(1999)), account.isWarmingUp(at(2000))]).toEqual([true, false]);
  expect(account.warmUpRate(at(2000))).toBe(0);
  account.update(at(2500), runnerOf('r', { coldMs: 300 }));
  expect([account.isWarmingUp(at(2799)), account.isWarmingUp(at(2800))]).toEqual([true, false]);
});
test('slots and our part of the connections bound what is at a runner, two at the least', () => {
  const account = new TrackedRunner(at(0), runnerOf('r', { slots: 2 }));
  for (let id = 0; id < 4; id += 1) {
    expect(account.hasCapacity(LLM, 1)).toBe(true);
    account.addRequest(at(0), requestOf(at(0), id));
  }
  expect(account.hasCapacity(LLM, 1)).toBe(false);
  const shared = new TrackedRunner(at(0), runnerOf('s'));
  shared.addRequest(at(0), requestOf(at(0), 1));
  expect(shared.hasCapacity(LLM, 90)).toBe(true);
  shared.addRequest(at(0), requestOf(at(0), 2));
  expect(shared.hasCapacity(LLM, 90)).toBe(false);
});
test('the oldest shared parts are forgotten first', () => {
  const account = new TrackedRunner(at(0), runnerOf('r'));
  for (let id = 0; id <= 2000; id += 1) {
    const prefix = [
      { id: `p${id}`, tokens: 10 },
      { id: 'own', tokens: 1 },
    ];
    account.addRequest(at(id), requestOf(at(id), id, { prefix }));
  }
  expect([
    account.hasCachedPrefix('m//p0'),
    account.hasCachedPrefix('m//p1'),
    account.hasCachedPrefix('m//p2000'),
  ]).toEqual([false, true, true]);
});
