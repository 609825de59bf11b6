import { expect, test } from 'vitest';
import { RequestOutcomes } from './request-outcomes.js';
import { DispatchCounts } from './dispatch-counts.js';
import type { DispatchEffect } from './dispatch-types.js';
import { EffectQueue } from './effect-queue.js';
import { OpenRequests } from './open-requests.js';
import type { RoutedRequest } from './routed-request.js';
import { at, requestOf } from './testing/dispatch-fixtures.js';
import { ModelDemand } from './model-demand.js';

class Bench {
  readonly requests = new OpenRequests(new ModelDemand());
  readonly counts = new DispatchCounts();
  readonly #effects = new EffectQueue();
  readonly answers = new RequestOutcomes(this.requests, this.#effects, this.counts);

  take(more: Partial<RoutedRequest>): RoutedRequest {
    const request = { ...requestOf(at(0), 1), ...more };
    this.requests.add(request);
    return request;
  }

  /** What was told, of a request that must have ended by it. */
  told(): DispatchEffect[] {
    expect(this.requests.size).toBe(0);
    return this.#effects.drain();
  }
}
test('what never ran is refused', () => {
  const bench = new Bench();
  bench.answers.reject(bench.take({}), 'full', 250);
  expect(bench.told()).toEqual([{ do: 'reject', id: 1, reason: 'full', retryAfterMs: 250 }]);
  bench.answers.expire(bench.take({}));
  expect(bench.told()).toEqual([{ do: 'reject', id: 1, reason: 'late', retryAfterMs: 100 }]);
  bench.answers.fail(bench.take({}));
  expect(bench.told()).toEqual([{ do: 'fail', id: 1, isTimeout: false }]);
  expect([bench.counts.refused, bench.counts.failed]).toEqual([2, 1]);
});
test('what may have run, or was begun to be answered, is never told as refused', () => {
  const bench = new Bench();
  for (const more of [{ mayHaveRun: true }, { isResponseStarted: true }]) {
    bench.answers.reject(bench.take(more), 'full', 250);
    expect(bench.told()).toEqual([{ do: 'fail', id: 1, isTimeout: false }]);
    bench.answers.expire(bench.take(more));
    expect(bench.told()).toEqual([{ do: 'fail', id: 1, isTimeout: true }]);
  }
  expect([bench.counts.refused, bench.counts.failed]).toEqual([0, 4]);
});
