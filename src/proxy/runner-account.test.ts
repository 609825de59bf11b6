import { expect, test } from 'vitest';
import { RunnerAccount } from './runner-account.js';
import { at, LLM, requestOf, runnerOf } from './testing/dispatch-fixtures.js';

const ADAPTED = { adapter: 'a1' };
test('prompt tokens are pending until the first event or the end, once', () => {
  const account = new RunnerAccount(at(0), runnerOf('r'));
  const first = requestOf(at(0), 1);
  const second = requestOf(at(0), 2);
  account.add(at(0), first);
  account.add(at(0), second);
  expect(account.pendingTokens).toBe(1200);
  first.isBegun = true;
  account.begun(first);
  expect(account.pendingTokens).toBe(600);
  // What was counted off at its first event is not counted off again at its end.
  expect(account.remove(first)).toBe(true);
  expect(account.pendingTokens).toBe(600);
  expect(account.remove(first)).toBe(false);
  expect(account.remove(second)).toBe(true);
  expect([account.pendingTokens, account.requests]).toEqual([0, 0]);
});
test('each failure in a row doubles the pause up to 4 s, and a success ends the row', () => {
  const account = new RunnerAccount(at(0), runnerOf('r'));
  account.avoid(at(0));
  // A second failure within the pause is the same one.
  account.avoid(at(100));
  expect([account.isPaused(at(499)), account.isPaused(at(500))]).toEqual([true, false]);
  account.avoid(at(500));
  expect([account.isPaused(at(1499)), account.isPaused(at(1500))]).toEqual([true, false]);
  account.succeeded();
  account.avoid(at(2000));
  expect([account.isPaused(at(2499)), account.isPaused(at(2500))]).toEqual([true, false]);
  for (let failure = 0, now = 3000; failure < 6; failure += 1, now += 4000) account.avoid(at(now));
  expect([account.isPaused(at(26_999)), account.isPaused(at(27_000))]).toEqual([true, false]);
});
test('what a runner denied to hold is believed for a while, or until it is told anew', () => {
  const facts = runnerOf('r');
  const account = new RunnerAccount(at(0), facts);
  const plain = requestOf(at(0), 1);
  const adapted = requestOf(at(0), 2, ADAPTED);
  account.noteMissing(at(0), adapted);
  expect([account.holds(at(1), adapted), account.holdsModel(at(1), adapted)]).toEqual([
    false,
    true,
  ]);
  expect(account.holds(at(1), plain)).toBe(true);
  // The same word again changes nothing; a new one does.
  account.update(at(2), { ...facts });
  expect(account.holds(at(3), adapted)).toBe(false);
  account.update(at(4), { ...facts, slots: 32 });
  expect(account.holds(at(5), adapted)).toBe(true);
  account.noteMissing(at(10), plain);
  expect([account.holdsModel(at(11), plain), account.holdsModel(at(1510), plain)]).toEqual([
    false,
    true,
  ]);
});
test('what a runner got while cold counts for a second', () => {
  const account = new RunnerAccount(at(0), runnerOf('r', { coldMs: 2000 }));
  account.add(at(0), requestOf(at(0), 1));
  account.add(at(500), requestOf(at(0), 2));
  expect([account.coldRate(at(1049)), account.coldRate(at(1050))]).toEqual([2, 1]);
  account.add(at(2000), requestOf(at(0), 3));
  expect([account.isCold(at(1999)), account.isCold(at(2000))]).toEqual([true, false]);
  expect(account.coldRate(at(2000))).toBe(0);
  account.update(at(2500), runnerOf('r', { coldMs: 300 }));
  expect([account.isCold(at(2799)), account.isCold(at(2800))]).toEqual([true, false]);
});
test('slots and our part of the connections bound what is at a runner, two at the least', () => {
  const account = new RunnerAccount(at(0), runnerOf('r', { slots: 2 }));
  for (let id = 0; id < 4; id += 1) {
    expect(account.hasPlace(LLM, 1)).toBe(true);
    account.add(at(0), requestOf(at(0), id));
  }
  expect(account.hasPlace(LLM, 1)).toBe(false);
  const shared = new RunnerAccount(at(0), runnerOf('s'));
  shared.add(at(0), requestOf(at(0), 1));
  expect(shared.hasPlace(LLM, 90)).toBe(true);
  shared.add(at(0), requestOf(at(0), 2));
  expect(shared.hasPlace(LLM, 90)).toBe(false);
});
test('the oldest shared parts are forgotten first', () => {
  const account = new RunnerAccount(at(0), runnerOf('r'));
  for (let id = 0; id <= 2000; id += 1) {
    const prefix = [
      { id: `p${id}`, tokens: 10 },
      { id: 'own', tokens: 1 },
    ];
    account.add(at(id), requestOf(at(id), id, { prefix }));
  }
  expect([account.hasKept('m//p0'), account.hasKept('m//p1'), account.hasKept('m//p2000')]).toEqual(
    [false, true, true],
  );
});
