import { expect, test } from 'vitest';
import { at, requestOf } from './testing/dispatch-fixtures.js';
import { ModelDemand } from './model-demand.js';

const UNIT = { service: 'llm', model: 'm', adapter: '' };
test('arrivals are reported once, waiting and running requests as long as they wait or run', () => {
  const demand = new ModelDemand();
  const first = requestOf(at(0), 1);
  const second = requestOf(at(0), 2);
  demand.onRequest(first);
  demand.onRequest(second);
  demand.onAttemptStart(first);
  demand.onWaitStart(second);
  expect(demand.takeReports(at(1))).toEqual([
    { ...UNIT, count: 2, waiting: 1, running: 1, priority: 2 },
  ]);
  demand.onWaitEnd(second);
  demand.onAttemptEnd(first);
  demand.onAttemptStart(second);
  expect(demand.takeReports(at(2))).toEqual([
    { ...UNIT, count: 0, waiting: 0, running: 1, priority: 9 },
  ]);
  demand.onAttemptEnd(second);
  expect(demand.takeReports(at(3))).toEqual([]);
});
test('the retry of a rejected request is expected until 500 ms after its load should complete', () => {
  const demand = new ModelDemand();
  const request = requestOf(at(0), 1);
  demand.onModelMissing(at(0), request);
  demand.onClientRetryExpected(at(0), request, 300);
  demand.onClientRetryExpected(at(0), request, 300);
  expect(demand.takeReports(at(799))).toEqual([
    { ...UNIT, count: 0, waiting: 2, running: 0, priority: 2 },
  ]);
  expect(demand.takeReports(at(800))).toEqual([]);
});
test('demand is urgent once, when requests start to wait', () => {
  const demand = new ModelDemand();
  const request = requestOf(at(0), 1);
  expect(demand.takeUrgent()).toBe(false);
  demand.onWaitStart(request);
  expect([demand.takeUrgent(), demand.takeUrgent()]).toEqual([true, false]);
  // Another request for the same model is not urgent.
  demand.onWaitStart(requestOf(at(0), 2));
  demand.onModelMissing(at(1), request);
  expect(demand.takeUrgent()).toBe(false);
});
test('requests to plain services are not counted', () => {
  const demand = new ModelDemand();
  const request = requestOf(at(0), 1, { path: '/safe/x', model: '' });
  demand.onRequest(request);
  demand.onAttemptStart(request);
  demand.onWaitStart(request);
  expect([demand.takeReports(at(1)), demand.takeUrgent()]).toEqual([[], false]);
});
