import { expect, test } from 'vitest';
import { compile } from '../policy/language.js';
import { DAKAR, HAMLET, SOFIA } from './deployment.js';
test('the deployments have the specified sizes and their policy tables compile without faults', () => {
  const [dakar, sofia] = [DAKAR, SOFIA];
  expect([
    dakar.edges,
    dakar.controlNodes,
    dakar.runners.length,
    dakar.catalog.models.length,
    dakar.catalog.adapters.length,
    dakar.plainBackEnds.length,
  ]).toEqual([9, 3, 8, 36, 40, 3]);
  expect([
    sofia.edges,
    sofia.controlNodes,
    sofia.runners.length,
    sofia.catalog.models.length,
    sofia.catalog.adapters.length,
    sofia.plainBackEnds.length,
  ]).toEqual([8, 3, 13, 30, 55, 3]);
  for (const deployment of [dakar, sofia, HAMLET])
    expect(compile(deployment.table).faults).toEqual([]);
});
