import { expect, test } from 'vitest';
import { at, requestOf } from './testing/dispatch-fixtures.js';
import { UnitDemand } from './unit-demand.js';

const UNIT = { service: 'llm', model: 'm', adapter: '' };
test('what came is reported once, what waits and runs for as long as it does', () => {
  const demand = new UnitDemand();
  const first = requestOf(at(0), 1);
  const second = requestOf(at(0), 2);
  demand.add(first);
  demand.add(second);
  demand.start(first);
  demand.wait(second);
  expect(demand.report(at(1))).toEqual([
    { ...UNIT, count: 2, waiting: 1, running: 1, priority: 2 },
  ]);
  demand.leave(second);
  demand.stop(first);
  demand.start(second);
  expect(demand.report(at(2))).toEqual([
    { ...UNIT, count: 0, waiting: 0, running: 1, priority: 9 },
  ]);
  demand.stop(second);
  expect(demand.report(at(3))).toEqual([]);
});
test('a request that was refused is wanted until 500 ms after its load is due', () => {
  const demand = new UnitDemand();
  const request = requestOf(at(0), 1);
  demand.miss(at(0), request);
  demand.want(at(0), request, 300);
  demand.want(at(0), request, 300);
  expect(demand.report(at(799))).toEqual([
    { ...UNIT, count: 0, waiting: 2, running: 0, priority: 2 },
  ]);
  expect(demand.report(at(800))).toEqual([]);
});
test('what waits is urgent when it is new, once', () => {
  const demand = new UnitDemand();
  const request = requestOf(at(0), 1);
  expect(demand.takeUrgent()).toBe(false);
  demand.wait(request);
  expect([demand.takeUrgent(), demand.takeUrgent()]).toEqual([true, false]);
  // Another one for the same unit is no news.
  demand.wait(requestOf(at(0), 2));
  demand.miss(at(1), request);
  expect(demand.takeUrgent()).toBe(false);
});
test('plain services have no units', () => {
  const demand = new UnitDemand();
  const request = requestOf(at(0), 1, { path: '/safe/x', model: '' });
  demand.add(request);
  demand.start(request);
  demand.wait(request);
  expect([demand.report(at(1)), demand.takeUrgent()]).toEqual([[], false]);
});
