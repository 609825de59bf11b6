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

/** The shape of a seed's result as received from a worker process. */
export const SeedResultShape = object({
  seed: number(),
  shape: enums([...SHAPE_NAMES]),
  violations: array(ViolationShape),
  figures: FiguresShape,
});

/** The result of one seed. */
export interface SeedResult {
  /** The seed. */
  readonly seed: number;
  /** The shape of its run. */
  readonly shape: RunShape;
  /** The violated rules. */
  readonly violations: readonly RunViolation[];
  /** The measured figures. */
  readonly figures: RunFigures;
}

/** Runs a seed: its options and its schedule are drawn for a shape. */
export function runSeed(seed: number, shape: RunShape, log?: RunLog): SeedResult {
  const options = optionsOf(seed, shape);
  const { violations, figures } = simulate(options, drawSchedule(options), log);
  return { seed, shape, violations, figures };
}
