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
test('requests that arrive shortly before the configuration is expected are queued in order', () => {
  const bench = new Bench();
  bench.early.add(at(0), headOf(1));
  expect(bench.rejected()).toEqual([[1, 800]]);
  bench.early.add(at(349), headOf(2));
  expect(bench.rejected()).toEqual([[2, 451]]);
  const queued = [headOf(3), headOf(4), headOf(5)];
  for (const head of queued) bench.early.add(at(350), head);
  bench.early.remove(4);
  expect(bench.rejected()).toEqual([]);
  expect(bench.early.release()).toEqual([queued[0], queued[2]]);
  expect(bench.early.release()).toEqual([]);
});
test('no request is queued for more than half of its time left, nor when the configuration is long overdue', () => {
  const bench = new Bench();
  bench.early.add(at(0), headOf(1));
  bench.early.add(at(400), headOf(2, { timeLeftMs: 600 }));
  bench.early.add(at(400), headOf(3, { timeLeftMs: undefined }));
  bench.rejected();
  bench.early.tick(at(699));
  expect(bench.rejected()).toEqual([]);
  bench.early.tick(at(700));
  expect(bench.rejected()).toEqual([[2, 400]]);
  bench.early.tick(at(800));
  expect(bench.rejected()).toEqual([[3, 400]]);
  // The configuration is long overdue: requests are no longer queued.
  bench.early.add(at(1601), headOf(4));
  expect(bench.rejected()).toEqual([[4, 400]]);
});
test('at most 500 requests are queued', () => {
  const bench = new Bench();
  bench.early.add(at(0), headOf(0));
  for (let id = 1; id <= 501; id += 1) bench.early.add(at(500), headOf(id));
  expect(bench.rejected()).toEqual([
    [0, 800],
    [501, 400],
  ]);
});
