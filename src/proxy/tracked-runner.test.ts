import { expect, test } from 'vitest';
import { TrackedRunner } from './tracked-runner.js';
import { at, LLM, requestOf, runnerOf } from './testing/dispatch-fixtures.js';

const ADAPTED = { adapter: 'a1' };
test('prompt tokens are pending until the first event or the end, and subtracted once', () => {
  const runner = new TrackedRunner(at(0), runnerOf('r'));
  const first = requestOf(at(0), 1);
  const second = requestOf(at(0), 2);
  runner.addRequest(at(0), first);
  runner.addRequest(at(0), second);
  expect(runner.pendingPromptTokens).toBe(1200);
  first.isResponseStarted = true;
  runner.onFirstEvent(first);
  expect(runner.pendingPromptTokens).toBe(600);
  // Tokens that were subtracted at the first event are not subtracted again at the end.
  expect(runner.removeRequest(first)).toBe(true);
  expect(runner.pendingPromptTokens).toBe(600);
  expect(runner.removeRequest(first)).toBe(false);
  expect(runner.removeRequest(second)).toBe(true);
  expect([runner.pendingPromptTokens, runner.inFlight]).toEqual([0, 0]);
});
test('each consecutive failure doubles the ejection up to 4 s, and a success ends the series', () => {
  const runner = new TrackedRunner(at(0), runnerOf('r'));
  runner.eject(at(0));
  // A failure during the ejection does not count.
  runner.eject(at(100));
  expect([runner.isBackingOff(at(499)), runner.isBackingOff(at(500))]).toEqual([true, false]);
  runner.eject(at(500));
  expect([runner.isBackingOff(at(1499)), runner.isBackingOff(at(1500))]).toEqual([true, false]);
  runner.onSuccess();
  runner.eject(at(2000));
  expect([runner.isBackingOff(at(2499)), runner.isBackingOff(at(2500))]).toEqual([true, false]);
  for (let failure = 0, now = 3000; failure < 6; failure += 1, now += 4000) runner.eject(at(now));
  expect([runner.isBackingOff(at(26_999)), runner.isBackingOff(at(27_000))]).toEqual([true, false]);
});
test('a model that a runner reported missing is avoided for a time, or until a new report', () => {
  const info = runnerOf('r');
  const runner = new TrackedRunner(at(0), info);
  const plain = requestOf(at(0), 1);
  const adapted = requestOf(at(0), 2, ADAPTED);
  runner.onModelMissing(at(0), adapted);
  expect([runner.hasModelUnit(at(1), adapted), runner.hasModel(at(1), adapted)]).toEqual([
    false,
    true,
  ]);
  expect(runner.hasModelUnit(at(1), plain)).toBe(true);
  // The same report again changes nothing; a different one does.
  runner.update(at(2), { ...info });
  expect(runner.hasModelUnit(at(3), adapted)).toBe(false);
  runner.update(at(4), { ...info, slots: 32 });
  expect(runner.hasModelUnit(at(5), adapted)).toBe(true);
  runner.onModelMissing(at(10), plain);
  expect([runner.hasModel(at(11), plain), runner.hasModel(at(1510), plain)]).toEqual([false, true]);
});
test('requests to a warming runner count for a second', () => {
  const runner = new TrackedRunner(at(0), runnerOf('r', { coldMs: 2000 }));
  runner.addRequest(at(0), requestOf(at(0), 1));
  runner.addRequest(at(500), requestOf(at(0), 2));
  expect([runner.warmUpRate(at(1049)), runner.warmUpRate(at(1050))]).toEqual([2, 1]);
  runner.addRequest(at(2000), requestOf(at(0), 3));
  expect([runner.isWarmingUp(at(1999)), runner.isWarmingUp(at(2000))]).toEqual([true, false]);
  expect(runner.warmUpRate(at(2000))).toBe(0);
  runner.update(at(2500), runnerOf('r', { coldMs: 300 }));
  expect([runner.isWarmingUp(at(2799)), runner.isWarmingUp(at(2800))]).toEqual([true, false]);
});
test('slots and the share of connections limit the requests at a runner, but not below two', () => {
  const runner = new TrackedRunner(at(0), runnerOf('r', { slots: 2 }));
  for (let id = 0; id < 4; id += 1) {
    expect(runner.hasCapacity(LLM, 1)).toBe(true);
    runner.addRequest(at(0), requestOf(at(0), id));
  }
  expect(runner.hasCapacity(LLM, 1)).toBe(false);
  const shared = new TrackedRunner(at(0), runnerOf('s'));
  shared.addRequest(at(0), requestOf(at(0), 1));
  expect(shared.hasCapacity(LLM, 90)).toBe(true);
  shared.addRequest(at(0), requestOf(at(0), 2));
  expect(shared.hasCapacity(LLM, 90)).toBe(false);
});
test('the oldest shared prefixes are forgotten first', () => {
  const runner = new TrackedRunner(at(0), runnerOf('r'));
  for (let id = 0; id <= 2000; id += 1) {
    const prefix = [
      { id: `p${id}`, tokens: 10 },
      { id: 'own', tokens: 1 },
    ];
    runner.addRequest(at(id), requestOf(at(id), id, { prefix }));
  }
  expect([
    runner.hasCachedPrefix('m//p0'),
    runner.hasCachedPrefix('m//p1'),
    runner.hasCachedPrefix('m//p2000'),
  ]).toEqual([false, true, true]);
});
