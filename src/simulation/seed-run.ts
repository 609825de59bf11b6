import { array, boolean, enums, number, object, record, string } from 'superstruct';
import { simulate, type RunLog } from './control-simulation.js';
import { ORDER_KINDS, type RunFigures } from './run-figures.js';
import { optionsOf, SHAPE_NAMES, type RunShape } from './run-shape.js';
import { drawSchedule } from './schedule-draw.js';
import type { RunViolation } from './violation.js';

const ViolationShape = object({ rule: string(), at: number(), text: string() });
const OutcomesShape = object({
  accepted: number(),
  refused: number(),
  unclear: number(),
  attempts: number(),
});
const FiguresShape = object({
  nodes: number(),
  virtualMs: number(),
  isRecoveryOwed: boolean(),
  faults: record(string(), number()),
  packets: number(),
  runnerOrders: number(),
  reigns: number(),
  voterChanges: number(),
  repairMs: array(number()),
  leaderlessMs: array(number()),
  reads: number(),
  orders: record(enums([...ORDER_KINDS]), OutcomesShape),
});

/** A seed's result as it comes from another process. */
export const SeedResultShape = object({
  seed: number(),
  shape: enums([...SHAPE_NAMES]),
  violations: array(ViolationShape),
  figures: FiguresShape,
});

/** What one seed gave. */
export interface SeedResult {
  readonly seed: number;
  readonly shape: RunShape;
  readonly violations: readonly RunViolation[];
  readonly figures: RunFigures;
}

/** Runs the options and the schedule that a seed draws for a shape. */
export function runSeed(seed: number, shape: RunShape, log?: RunLog): SeedResult {
  const options = optionsOf(seed, shape);
  const { violations, figures } = simulate(options, drawSchedule(options), log);
  return { seed, shape, violations, figures };
}
