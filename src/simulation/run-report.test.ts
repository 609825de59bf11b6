import { expect, test } from 'vitest';
import { reportOf, distributionOf } from './run-report.js';
import { optionsOf, RUN_SHAPES, SHAPE_NAMES, shapeOf, type RunShape } from './run-shape.js';
import { runSeed } from './seed-run.js';

const MIX_LENGTH = 100;
test('any hundred seeds of a mixed batch include every shape', () => {
  const shapes = new Set<RunShape>();
  for (let seed = 1; seed <= MIX_LENGTH; seed += 1) shapes.add(shapeOf(seed, 'mixed'));
  expect([...shapes].sort()).toEqual([...SHAPE_NAMES].sort());
  for (const shape of shapes) expect(optionsOf(1, shape)).toMatchObject(RUN_SHAPES[shape]);
});
test('a distribution has the quantiles of the values', () => {
  const values: number[] = [];
  for (let value = 100; value > 0; value -= 1) values.push(value);
  const distribution = {
    count: 100,
    median: 51,
    ninety: 91,
    ninetyFive: 96,
    ninetyNine: 100,
    most: 100,
  };
  expect(distributionOf(values)).toEqual(distribution);
  expect(distributionOf([])).toMatchObject({ count: 0, most: 0 });
});
test('a report sums up the results of its seeds', () => {
  const spares = runSeed(3, 'three-spare');
  const alone = runSeed(4, 'three-one-operator');
  const broken = { ...alone, violations: [{ rule: 'stale-read', at: 1, text: 'x' }] };
  const report = reportOf([spares, broken]);
  expect(report).toMatchObject({ seeds: 2, failedSeeds: [4], rules: { 'stale-read': 1 } });
  expect(report.shapes).toEqual([
    { shape: 'three-spare', seeds: 1, failed: 0 },
    { shape: 'three-one-operator', seeds: 1, failed: 1 },
  ]);
  // The spare becomes a sound replica too, without being a voter.
  expect(spares.figures.repairMs.length).toBeGreaterThan(spares.figures.nodes);
  expect(report.faults.kill).toBe(
    (spares.figures.faults.kill ?? 0) + (alone.figures.faults.kill ?? 0),
  );
  const { accepted } = report.orders.put;
  expect(accepted).toBe(spares.figures.orders.put.accepted + alone.figures.orders.put.accepted);
  expect(report.orders.all.accepted).toBeGreaterThan(accepted);
});
