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
  readonly #effectQueue = new EffectQueue();
  readonly outcomes = new RequestOutcomes(this.requests, this.#effectQueue, this.counts);

  add(more: Partial<RoutedRequest>): RoutedRequest {
    const request = { ...requestOf(at(0), 1), ...more };
    this.requests.add(request);
    return request;
  }

  /** Returns the effects; the request must have ended. */
  effectsAtEnd(): DispatchEffect[] {
    expect(this.requests.size).toBe(0);
    return this.#effectQueue.drain();
  }
}
test('a request that was not processed is rejected', () => {
  const bench = new Bench();
  bench.outcomes.reject(bench.add({}), 'full', 250);
  expect(bench.effectsAtEnd()).toEqual([
    { do: 'reject', id: 1, reason: 'full', retryAfterMs: 250 },
  ]);
  bench.outcomes.expire(bench.add({}));
  expect(bench.effectsAtEnd()).toEqual([
    { do: 'reject', id: 1, reason: 'late', retryAfterMs: 100 },
  ]);
  bench.outcomes.fail(bench.add({}));
  expect(bench.effectsAtEnd()).toEqual([{ do: 'fail', id: 1, isTimeout: false }]);
  expect([bench.counts.refused, bench.counts.failed]).toEqual([2, 1]);
});
test('a request is not rejected once it may have been processed or its response has started', () => {
  const bench = new Bench();
  for (const more of [{ mayHaveRun: true }, { isResponseStarted: true }]) {
    bench.outcomes.reject(bench.add(more), 'full', 250);
    expect(bench.effectsAtEnd()).toEqual([{ do: 'fail', id: 1, isTimeout: false }]);
    bench.outcomes.expire(bench.add(more));
    expect(bench.effectsAtEnd()).toEqual([{ do: 'fail', id: 1, isTimeout: true }]);
  }
  expect([bench.counts.refused, bench.counts.failed]).toEqual([0, 4]);
});
