import { expect, test } from 'vitest';
import { RequestOutcomes } from './request-outcomes.js';
import { DispatchCounts } from './dispatch-counts.js';
import { EarlyRequests } from './early-requests.js';
import { EffectQueue } from './effect-queue.js';
import { OpenRequests } from './open-requests.js';
import { at, headOf } from './testing/dispatch-fixtures.js';
import { ModelDemand } from './model-demand.js';

class Bench {
  readonly effects = new EffectQueue();
  readonly early = new EarlyRequests(
    new RequestOutcomes(new OpenRequests(new ModelDemand()), this.effects, new DispatchCounts()),
  );

  /** Ids and retry delays of the requests that were rejected since the last call. */
  rejected(): [number, number][] {
    const rejected: [number, number][] = [];
    for (const effect of this.effects.drain())
      if (effect.do === 'reject') rejected.push([effect.id, effect.retryAfterMs]);
    return rejected;
  }
}
test('requests are queued in order while the configuration is expected within the time of their clients', () => {
  const bench = new Bench();
  const queued = [headOf(1), headOf(2), headOf(3, { timeLeftMs: undefined }), headOf(4)];
  for (const [index, head] of queued.entries()) bench.early.add(at(index * 10), head);
  bench.early.remove(2);
  expect(bench.rejected()).toEqual([]);
  expect(bench.early.release()).toEqual([queued[0], queued[2], queued[3]]);
  expect(bench.early.release()).toEqual([]);
});
test('a request is rejected at once if its client gives up before the configuration is expected', () => {
  const bench = new Bench();
  // Expected after 800 ms; a refusal leaves 100 ms before the client gives up.
  bench.early.add(at(0), headOf(1, { timeLeftMs: 899 }));
  expect(bench.rejected()).toEqual([[1, 800]]);
  bench.early.add(at(0), headOf(2, { timeLeftMs: 900 }));
  bench.early.add(at(400), headOf(3, { timeLeftMs: 499 }));
  expect(bench.rejected()).toEqual([[3, 400]]);
});
test('a queued request is rejected while its client still waits, and no later than the configuration is overdue', () => {
  const bench = new Bench();
  bench.early.add(at(0), headOf(1, { timeLeftMs: 1000 }));
  bench.early.add(at(400), headOf(2, { timeLeftMs: 6000 }));
  bench.early.tick(at(899));
  expect(bench.rejected()).toEqual([]);
  bench.early.tick(at(900));
  expect(bench.rejected()).toEqual([[1, 400]]);
  bench.early.tick(at(1600));
  expect(bench.rejected()).toEqual([]);
  // Nothing is known about when it will arrive; other proxies may be able to serve the request.
  bench.early.tick(at(1601));
  expect(bench.rejected()).toEqual([[2, 400]]);
  bench.early.add(at(1601), headOf(4));
  expect(bench.rejected()).toEqual([[4, 400]]);
});
test('at most 500 requests are queued', () => {
  const bench = new Bench();
  for (let id = 1; id <= 501; id += 1) bench.early.add(at(500), headOf(id));
  expect(bench.rejected()).toEqual([[501, 800]]);
});
