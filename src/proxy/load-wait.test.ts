import { expect, test } from 'vitest';
import { FirstEventTimes } from './first-event-times.js';
import { FleetView } from './fleet-view.js';
import { LoadForecast } from './load-forecast.js';
import { LoadWait, type LoadVerdict } from './load-wait.js';
import type { RequestHead } from './dispatch-types.js';
import { clientTimeoutAt } from './client-timeout.js';
import type { RoutedRequest } from './routed-request.js';
import { RunnerPicker } from './runner-picker.js';
import { at, requestOf, runnerOf } from './testing/dispatch-fixtures.js';

class Bench {
  readonly fleet = new FleetView();
  readonly forecast = new LoadForecast();
  readonly #wait = new LoadWait(
    new RunnerPicker(
      {
        proxyId: 'f',
        zone: 'za',
        retry: { ratio: 0.2, extra: 50, windowMs: 10_000 },
        warmupExcess: 1,
        connectTimeoutMs: 300,
        hasIdleConnection: always,
        random: zero,
      },
      this.fleet,
    ),
    this.forecast,
    new FirstEventTimes(),
  );

  /** What becomes of a request that came 0 ms after the start, judged so many ms after it. */
  judge(now: number, more: Partial<RequestHead> = {}, isFirstAttempt = true): LoadVerdict {
    const request = { ...requestOf(at(0), 1, more), isFirstAttempt };
    return this.#wait.decide(at(now), request);
  }

  decide(now: number, request: RoutedRequest): LoadVerdict {
    return this.#wait.decide(at(now), request);
  }

  /** The leader tells in how long `m` is due. */
  tell(readyMs: number): void {
    const waits = [{ model: 'm', adapter: '', readyMs }];
    this.forecast.update(at(0), { flows: 1, runners: [], waits });
  }
}

function zero(): number {
  return 0;
}
function always(): boolean {
  return true;
}
test('who would be served late comes back if there is time, waits, or is refused', () => {
  const bench = new Bench();
  expect(bench.judge(0, { model: 'x' })).toEqual({ do: 'unknownModel' });
  // Nothing is told: 1.5 times the engine's 600 ms, and 200 ms; too late for the target of 500 ms, so it comes back.
  expect(bench.judge(0)).toEqual({ do: 'rejectUntilLoaded', expectedMs: 1100, retryAfterMs: 1160 });
  // Its next try would have no time: it waits.
  expect(bench.judge(0, { timeLeftMs: 2000 })).toEqual({ do: 'wait', forMs: 150 });
  // Not even that: it is refused with a third of its time.
  expect(bench.judge(0, { timeLeftMs: 960 })).toEqual({
    do: 'rejectUntilLoaded',
    expectedMs: 1100,
    retryAfterMs: 300,
  });
  // At a later try it waits for as long as there is any time.
  expect(bench.judge(0, { timeLeftMs: 960 }, false)).toEqual({ do: 'wait', forMs: 150 });
  expect(bench.judge(840, { timeLeftMs: 960 }, false).do).toBe('rejectUntilLoaded');
  // A quarter of the target is over: nobody is sent away any more.
  expect(bench.judge(126)).toEqual({ do: 'wait', forMs: 150 });
});
test("the leader's word on a load goes before what such loads usually take", () => {
  const bench = new Bench();
  bench.tell(100);
  expect(bench.judge(0)).toEqual({ do: 'wait', forMs: 100 });
  bench.tell(10);
  expect(bench.judge(0)).toEqual({ do: 'wait', forMs: 40 });
  bench.tell(450);
  expect(bench.judge(0)).toEqual({ do: 'rejectUntilLoaded', expectedMs: 450, retryAfterMs: 510 });
});
test('an adapter of a model that is held is soon there', () => {
  const bench = new Bench();
  bench.fleet.update(at(0), { flows: 1, runners: [runnerOf('a')], waits: [] });
  expect(bench.judge(0, { adapter: 'a2' })).toEqual({ do: 'wait', forMs: 80 });
});

/** A stream whose client gives it up after 2.4 s of silence, though its deadline is 6 s away. */
function impatient(arrivedAt: number, timeLeftMs: number, isFirstAttempt: boolean): RoutedRequest {
  const request = requestOf(at(arrivedAt), 1);
  const route = { ...request.route, latencyTargetMs: 300, gapTargetMs: 300, timeoutMs: 6000 };
  const deadline = at(arrivedAt + timeLeftMs);
  return {
    ...request,
    route,
    deadline,
    patienceEnd: clientTimeoutAt(route, at(arrivedAt), deadline),
    isFirstAttempt,
  };
}
test('a load that its client will not wait for in silence is met by its next attempt', () => {
  const bench = new Bench();
  // Due after the client gave up, and within reach of its next attempt: sent away at once for as long as it obeys.
  bench.tell(3500);
  expect(bench.decide(0, impatient(0, 6000, true))).toEqual({
    do: 'rejectUntilLoaded',
    expectedMs: 3500,
    retryAfterMs: 1875,
  });
  // That next attempt waits.
  expect(bench.decide(1900, impatient(1900, 4100, false)).do).toBe('wait');
  // Due within its patience: it waits at its first attempt already.
  bench.tell(2200);
  expect(bench.decide(0, impatient(0, 6000, true)).do).toBe('wait');
});
test('a load out of reach of both attempts is waited for until patience ends, and no longer', () => {
  const bench = new Bench();
  bench.tell(5500);
  const request = impatient(0, 6000, true);
  expect(bench.decide(0, request).do).toBe('wait');
  // Once the next attempt would meet the load, the client is sent away.
  expect(bench.decide(2300, request)).toMatchObject({ do: 'rejectUntilLoaded' });
  bench.tell(60_000);
  expect(bench.decide(0, request).do).toBe('rejectUntilLoaded');
  // A last attempt is kept, for the load may come sooner, but it is answered before its client leaves.
  const last = impatient(0, 4000, false);
  expect(bench.decide(2200, last).do).toBe('wait');
  expect(bench.decide(2300, last).do).toBe('rejectUntilLoaded');
});
