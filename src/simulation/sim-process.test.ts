import { expect, test } from 'vitest';
import { Scheduler } from '../rehearsal/scheduler.js';
import { SeededRandom } from '../rehearsal/seeded-random.js';
import { SimProcess } from './sim-process.js';

interface LoopFixture {
  readonly scheduler: Scheduler;
  readonly process: SimProcess;
  readonly seen: string[];
  readonly note: (text: string) => () => void;
}

function loopOf(seed: number): LoopFixture {
  const scheduler = new Scheduler();
  const process = new SimProcess(scheduler, new SeededRandom(seed), 0.01);
  const seen: string[] = [];
  function note(text: string): () => void {
    return seen.push.bind(seen, text);
  }
  process.begin();
  return { scheduler, process, seen, note };
}

/** The order in which a thawed process takes two streams of input and a timer. */
function runOrderAfterThaw(seed: number): readonly string[] {
  const { scheduler, process, seen, note } = loopOf(seed);
  process.after(10, note('timer'));
  scheduler.runUntil(5);
  process.freeze();
  for (const text of ['a1', 'a2', 'a3']) process.submit('a', note(text));
  for (const text of ['b1', 'b2']) process.submit('b', note(text));
  scheduler.runUntil(100);
  expect(seen).toEqual([]);
  process.thaw();
  return seen;
}

function isOfA(text: string): boolean {
  return text.startsWith('a');
}

function isOfB(text: string): boolean {
  return text.startsWith('b');
}

test('a thawed process takes input and timers in any order that preserves each stream', () => {
  const places = new Set<number>();
  for (let seed = 1; seed <= 60; seed += 1) {
    const seen = runOrderAfterThaw(seed);
    expect(seen.filter(isOfA)).toEqual(['a1', 'a2', 'a3']);
    expect(seen.filter(isOfB)).toEqual(['b1', 'b2']);
    expect(seen).toHaveLength(6);
    places.add(seen.indexOf('timer'));
  }
  // The timer runs before all input, after it, or in between.
  expect(places.has(0)).toBe(true);
  expect(places.has(5)).toBe(true);
  expect(places.size).toBeGreaterThan(2);
});
test('a repeating timer is due once after a freeze', () => {
  const { scheduler, process, seen, note } = loopOf(1);
  process.every(50, note('beat'));
  scheduler.runUntil(220);
  expect(seen).toHaveLength(4);
  process.freeze();
  scheduler.runUntil(2000);
  process.thaw();
  // Many intervals have passed, but one call is due.
  expect(seen).toHaveLength(5);
});
test('no callback of a previous incarnation runs in the next', () => {
  const { scheduler, process, seen, note } = loopOf(1);
  process.after(10, note('of the first incarnation'));
  process.end();
  process.submit('a', note('while down'));
  process.begin();
  scheduler.runUntil(100);
  expect(seen).toEqual([]);
});
test('the clock stays within its maximum drift and continues while the process is frozen', () => {
  const { scheduler, process } = loopOf(7);
  const before = process.now();
  scheduler.runUntil(10_000);
  const elapsed = process.now() - before;
  expect(Math.abs(elapsed - 10_000)).toBeLessThanOrEqual(100);
  process.freeze();
  scheduler.runUntil(20_000);
  expect(process.now() - before).toBeGreaterThan(elapsed);
});
