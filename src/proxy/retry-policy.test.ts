import { expect, test } from 'vitest';
import { FleetView } from './fleet-view.js';
import { RetryPolicy } from './retry-policy.js';
import { RunnerChoice } from './runner-choice.js';
import { at, requestOf, runnerOf } from './testing/dispatch-fixtures.js';

class Bench {
  readonly retry: RetryPolicy;

  constructor(extra: number, ...runners: string[]) {
    const retry = { ratio: 0, extra, windowMs: 10_000 };
    const fleet = new FleetView();
    const settings = { flow: 'f', zone: 'za', retry, warmupExcess: 1, connectMs: 300 };
    const choice = new RunnerChoice({ ...settings, hasIdle: always, random: zero }, fleet);
    this.retry = new RetryPolicy(retry, fleet, choice);
    fleet.update(at(0), { flows: 1, runners: runners.map(listed), waits: [] });
  }
}

function listed(id: string): ReturnType<typeof runnerOf> {
  return runnerOf(id);
}
function zero(): number {
  return 0;
}
function always(): boolean {
  return true;
}
test('tries, time and another runner bound retries', () => {
  const { retry } = new Bench(100, 'a', 'b');
  const request = requestOf(at(0), 1);
  request.sends = 1;
  request.tried.add('a');
  expect(retry.mayRetry(at(0), request)).toBe(true);
  expect([retry.mayRetry(at(4939), request), retry.mayRetry(at(4940), request)]).toEqual([
    true,
    false,
  ]);
  expect(retry.mayLeaveSilent(at(0), request)).toBe(true);
  request.tried.add('b');
  expect([retry.mayRetry(at(0), request), retry.mayLeaveSilent(at(0), request)]).toEqual([
    false,
    false,
  ]);
  // Where it is proven that it did not run a wait for a place may do.
  expect(retry.mayRetryNotRun(at(0), request)).toBe(true);
  request.sends = 2;
  expect(retry.mayRetryNotRun(at(0), request)).toBe(false);
});
test('the budget is asked last, and a yes is paid for', () => {
  const { retry } = new Bench(4, 'a', 'b');
  const request = requestOf(at(0), 1);
  request.sends = 2;
  // A no that is no matter of the budget costs nothing.
  for (let count = 0; count < 10; count += 1) expect(retry.mayRetry(at(0), request)).toBe(false);
  request.sends = 1;
  const answers: boolean[] = [];
  for (let count = 0; count < 3; count += 1) answers.push(retry.mayRetry(at(0), request));
  expect(answers).toEqual([true, true, false]);
});
