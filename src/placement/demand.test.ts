import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import { Demand } from './demand.js';
test('rates decay, and units requested only once are removed', () => {
  const demand = new Demand(1000);
  for (let index = 0; index < 100_000; index += 1) demand.add(moment(index), `made-up-${index}`, 1);
  demand.add(moment(100_000), 'real', 5);
  expect(demand.units().length).toBeLessThan(20_000);
  expect(demand.rate(moment(100_000), 'real')).toBe(5);
  expect(demand.rate(moment(101_000), 'real')).toBeCloseTo(5 / Math.E);
});
