import { expect, test } from 'vitest';
import { ServiceState } from './planner-records.js';
import { PLANNER_DEFAULTS } from './planner-settings.js';
import { spreadShareOf } from './spread-share.js';
import { engineOf } from './testing/fleet-traffic.js';

function shareAt(loadMs: number, storeFactor = 1): number {
  const engine = engineOf(3);
  const models = engine.models.map((model) => ({ ...model, loadMs }));
  const service = new ServiceState('llm', { ...engine, models }, 5000, 15);
  service.storeFactor = storeFactor;
  return spreadShareOf(service, { ...PLANNER_DEFAULTS, spreadShare: 0.8 });
}

test('fast loads leave the share at its setting', () => {
  expect(shareAt(600)).toBe(0.8);
  expect(shareAt(100)).toBe(0.8);
});

test('the share falls with the fourth root of the observed load time', () => {
  expect(shareAt(9600)).toBeCloseTo(0.4);
  expect(shareAt(2400, 4)).toBeCloseTo(0.4);
});
