import { expect, test } from 'vitest';
import { FleetView } from './fleet-view.js';
import { RetryPolicy } from './retry-policy.js';
import { RunnerPicker } from './runner-picker.js';
import { at, requestOf, runnerOf } from './testing/dispatch-fixtures.js';

class Bench {
  readonly retry: RetryPolicy;

  constructor(extra: number, ...runners: string[]) {
    const retry = { ratio: 0, extra, windowMs: 10_000 };
    const fleet = new FleetView();
    const settings = { proxyId: 'f', zone: 'za', retry, warmupExcess: 1, connectTimeoutMs: 300 };
    const picker = new RunnerPicker(
      { ...settings, hasIdleConnection: always, random: zero },
      fleet,
    );
    this.retry = new RetryPolicy(retry, fleet, picker);
    fleet.update(at(0), { flows: 1, runners: runners.map(newRunner), waits: [] });
  }
}

function newRunner(id: string): ReturnType<typeof runnerOf> {
  return runnerOf(id);
}
function zero(): number {
  return 0;
}
function always(): boolean {
  return true;
}
test('retries are limited by attempts, time left and available runners', () => {
  const { retry } = new Bench(100, 'a', 'b');
  const request = requestOf(at(0), 1);
  request.attemptsSent = 1;
  request.triedRunners.add('a');
  expect(retry.mayRetry(at(0), request)).toBe(true);
  // The client of the stream gives up after 4.8 s without an event; 60 ms before, no runner responds in time any more.
  expect([4740, 4741].map((now) => retry.mayRetry(at(now), request))).toEqual([true, false]);
  // It has received an event: its deadline comes first.
  request.clientSilentSince = at(1000);
  expect([4940, 4941].map((now) => retry.mayRetry(at(now), request))).toEqual([true, false]);
  expect(retry.mayRetryUnresponsive(at(0), request)).toBe(true);
  request.triedRunners.add('b');
  expect([retry.mayRetry(at(0), request), retry.mayRetryUnresponsive(at(0), request)]).toEqual([
    false,
    false,
  ]);
  // An unprocessed request needs no available runner: it can wait for capacity.
  expect(retry.mayRetryUnprocessed(at(0), request)).toBe(true);
  request.attemptsSent = 2;
  expect(retry.mayRetryUnprocessed(at(0), request)).toBe(false);
});
test('the budget is checked last, and charged only for retries that are allowed', () => {
  const { retry } = new Bench(4, 'a', 'b');
  const request = requestOf(at(0), 1);
  request.attemptsSent = 2;
  // A retry that is denied for another reason costs nothing.
  for (let count = 0; count < 10; count += 1) expect(retry.mayRetry(at(0), request)).toBe(false);
  request.attemptsSent = 1;
  const decisions: boolean[] = [];
  for (let count = 0; count < 3; count += 1) decisions.push(retry.mayRetry(at(0), request));
  expect(decisions).toEqual([true, true, false]);
});
