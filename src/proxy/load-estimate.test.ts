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

  /** The decision at `now` on a new request that arrived at 0 ms. */
  decideOnNew(now: number, more: Partial<RequestHead> = {}, isFirstAttempt = true): LoadVerdict {
    const request = { ...requestOf(at(0), 1, more), isFirstAttempt };
    return this.#wait.decide(at(now), request);
  }

  decide(now: number, request: RoutedRequest): LoadVerdict {
    return this.#wait.decide(at(now), request);
  }

  /** The leader reports in how many ms `m` will be loaded. */
  forecastLoad(readyMs: number): void {
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
test('a request that would be served late is rejected if its client can retry in time, and waits otherwise', () => {
  const bench = new Bench();
  expect(bench.decideOnNew(0, { model: 'x' })).toEqual({ do: 'unknownModel' });
  // No forecast: 1.5 times the engine's 600 ms plus 200 ms, too late for the target of 500 ms, so the client retries.
  expect(bench.decideOnNew(0)).toEqual({
    do: 'rejectUntilLoaded',
    expectedMs: 1100,
    retryAfterMs: 1160,
  });
  // The next attempt would not have enough time: the request waits.
  expect(bench.decideOnNew(0, { timeLeftMs: 2000 })).toEqual({ do: 'wait', forMs: 150 });
  // Too little time to wait as well: it is rejected, with about a third of its time left as retry delay.
  expect(bench.decideOnNew(0, { timeLeftMs: 960 })).toEqual({
    do: 'rejectUntilLoaded',
    expectedMs: 1100,
    retryAfterMs: 300,
  });
  // A later attempt waits while there is any time left.
  expect(bench.decideOnNew(0, { timeLeftMs: 960 }, false)).toEqual({ do: 'wait', forMs: 150 });
  expect(bench.decideOnNew(840, { timeLeftMs: 960 }, false).do).toBe('rejectUntilLoaded');
  // A quarter of the latency target has passed: the request is no longer rejected.
  expect(bench.decideOnNew(126)).toEqual({ do: 'wait', forMs: 150 });
});
test("the leader's forecast takes precedence over the usual load time", () => {
  const bench = new Bench();
  bench.forecastLoad(100);
  expect(bench.decideOnNew(0)).toEqual({ do: 'wait', forMs: 100 });
  bench.forecastLoad(10);
  expect(bench.decideOnNew(0)).toEqual({ do: 'wait', forMs: 40 });
  bench.forecastLoad(450);
  expect(bench.decideOnNew(0)).toEqual({
    do: 'rejectUntilLoaded',
    expectedMs: 450,
    retryAfterMs: 510,
  });
});
test('an adapter of a loaded model is expected soon', () => {
  const bench = new Bench();
  bench.fleet.update(at(0), { flows: 1, runners: [runnerOf('a')], waits: [] });
  expect(bench.decideOnNew(0, { adapter: 'a2' })).toEqual({ do: 'wait', forMs: 80 });
});

/** A stream whose client gives up after 2.4 s without an event, though its deadline is 6 s away. */
function impatientRequest(
  arrivedAt: number,
  timeLeftMs: number,
  isFirstAttempt: boolean,
): RoutedRequest {
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
test("a load that takes longer than the client waits is left to the client's next attempt", () => {
  const bench = new Bench();
  // The client gives up before the load, but its next attempt can reach it: rejected with the longest delay it obeys.
  bench.forecastLoad(3500);
  expect(bench.decide(0, impatientRequest(0, 6000, true))).toEqual({
    do: 'rejectUntilLoaded',
    expectedMs: 3500,
    retryAfterMs: 1875,
  });
  // The next attempt waits.
  expect(bench.decide(1900, impatientRequest(1900, 4100, false)).do).toBe('wait');
  // The load completes before the client gives up: already the first attempt waits.
  bench.forecastLoad(2200);
  expect(bench.decide(0, impatientRequest(0, 6000, true)).do).toBe('wait');
});
test('a request waits for a load that neither attempt can reach until the client gives up, and no longer', () => {
  const bench = new Bench();
  bench.forecastLoad(5500);
  const request = impatientRequest(0, 6000, true);
  expect(bench.decide(0, request).do).toBe('wait');
  // Once the next attempt would reach the load, the request is rejected.
  expect(bench.decide(2300, request)).toMatchObject({ do: 'rejectUntilLoaded' });
  bench.forecastLoad(60_000);
  expect(bench.decide(0, request).do).toBe('rejectUntilLoaded');
  // The last attempt waits, as the load may complete sooner, but is rejected before its client gives up.
  const last = impatientRequest(0, 4000, false);
  expect(bench.decide(2200, last).do).toBe('wait');
  expect(bench.decide(2300, last).do).toBe('rejectUntilLoaded');
});
