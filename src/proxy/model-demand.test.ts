import { expect, test } from 'vitest';
import { at, requestOf } from './testing/dispatch-fixtures.js';
import { ModelDemand } from './model-demand.js';

const UNIT = { service: 'llm', model: 'm', adapter: '' };
test('what came is reported once, what waits and runs for as long as it does', () => {
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
test('a request that was refused is wanted until 500 ms after its load is due', () => {
  const demand = new ModelDemand();
  const request = requestOf(at(0), 1);
  demand.onModelMissing(at(0), request);
  demand.onReturnExpected(at(0), request, 300);
  demand.onReturnExpected(at(0), request, 300);
  expect(demand.takeReports(at(799))).toEqual([
    { ...UNIT, count: 0, waiting: 2, running: 0, priority: 2 },
  ]);
  expect(demand.takeReports(at(800))).toEqual([]);
});
test('what waits is urgent when it is new, once', () => {
  const demand = new ModelDemand();
  const request = requestOf(at(0), 1);
  expect(demand.takeUrgent()).toBe(false);
  demand.onWaitStart(request);
  expect([demand.takeUrgent(), demand.takeUrgent()]).toEqual([true, false]);
  // Another one for the same unit is no news.
  demand.onWaitStart(requestOf(at(0), 2));
  demand.onModelMissing(at(1), request);
  expect(demand.takeUrgent()).toBe(false);
});
test('plain services have no units', () => {
  const demand = new ModelDemand();
  const request = requestOf(at(0), 1, { path: '/safe/x', model: '' });
  demand.onRequest(request);
  demand.onAttemptStart(request);
  demand.onWaitStart(request);
  expect([demand.takeReports(at(1)), demand.takeUrgent()]).toEqual([[], false]);
});
