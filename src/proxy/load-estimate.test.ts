import { expect, test } from 'vitest';
import { FleetView } from './fleet-view.js';
import { LoadEstimate } from './load-estimate.js';
import { LoadForecast } from './load-forecast.js';
import type { RequestHead } from './dispatch-types.js';
import { RunnerPicker } from './runner-picker.js';
import { at, requestOf, runnerOf } from './testing/dispatch-fixtures.js';

class Bench {
  readonly fleet = new FleetView();
  readonly forecast = new LoadForecast();
  readonly #estimate = new LoadEstimate(
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
  );

  /** The estimate at `now` for a request that arrived at 0 ms. */
  expectedMs(now: number, more: Partial<RequestHead> = {}): number | undefined {
    return this.#estimate.expectedMs(at(now), requestOf(at(0), 1, more));
  }

  /** The leader reports at 0 ms in how many ms `m` will be loaded. */
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
test('a load without a report takes the configured time, half as much again at a busy runner, and the order', () => {
  const bench = new Bench();
  expect(bench.expectedMs(0)).toBe(600 * 1.5 + 200);
  expect(bench.expectedMs(0, { model: 'x' })).toBe(undefined);
});
test("the leader's report takes precedence, and its time is counted down", () => {
  const bench = new Bench();
  bench.forecastLoad(450);
  expect(bench.expectedMs(0)).toBe(450);
  expect(bench.expectedMs(300)).toBe(150);
  // Overdue: complete at any moment.
  expect(bench.expectedMs(2000)).toBe(40);
});
test('an adapter of a loaded model is expected soon', () => {
  const bench = new Bench();
  bench.fleet.update(at(0), { flows: 1, runners: [runnerOf('a')], waits: [] });
  expect(bench.expectedMs(0, { adapter: 'a2' })).toBe(80);
});
