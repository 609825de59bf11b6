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

  /** Requests refused since the last call, with when to come back. */
  refused(): [number, number][] {
    const refused: [number, number][] = [];
    for (const effect of this.effects.drain())
      if (effect.do === 'reject') refused.push([effect.id, effect.retryAfterMs]);
    return refused;
  }
}
test('who comes shortly before the configuration is due is held for it in turn', () => {
  const bench = new Bench();
  bench.early.add(at(0), headOf(1));
  expect(bench.refused()).toEqual([[1, 800]]);
  bench.early.add(at(349), headOf(2));
  expect(bench.refused()).toEqual([[2, 451]]);
  const held = [headOf(3), headOf(4), headOf(5)];
  for (const head of held) bench.early.add(at(350), head);
  bench.early.remove(4);
  expect(bench.refused()).toEqual([]);
  expect(bench.early.release()).toEqual([held[0], held[2]]);
  expect(bench.early.release()).toEqual([]);
});
test('nobody is held for more than half of its time, nor once it is long overdue', () => {
  const bench = new Bench();
  bench.early.add(at(0), headOf(1));
  bench.early.add(at(400), headOf(2, { timeLeftMs: 600 }));
  bench.early.add(at(400), headOf(3, { timeLeftMs: undefined }));
  bench.refused();
  bench.early.tick(at(699));
  expect(bench.refused()).toEqual([]);
  bench.early.tick(at(700));
  expect(bench.refused()).toEqual([[2, 400]]);
  bench.early.tick(at(800));
  expect(bench.refused()).toEqual([[3, 400]]);
  // The configuration is long overdue: nobody is held for it any more.
  bench.early.add(at(1601), headOf(4));
  expect(bench.refused()).toEqual([[4, 400]]);
});
test('no more than 500 are held', () => {
  const bench = new Bench();
  bench.early.add(at(0), headOf(0));
  for (let id = 1; id <= 501; id += 1) bench.early.add(at(500), headOf(id));
  expect(bench.refused()).toEqual([
    [0, 800],
    [501, 400],
  ]);
});
