import { array, number, object, string, type Infer } from 'superstruct';
import { simulate, type RunLog } from './ControlSimulation.js';
import type { RunFigures } from './RunFigures.js';
import { drawOptions, drawSchedule } from './ScheduleDraw.js';
import type { RunViolation } from './Violation.js';

const ViolationShape = object({ rule: string(), at: number(), text: string() });
const FiguresShape = object({
  nodes: number(),
  virtualMs: number(),
  faults: number(),
  packets: number(),
  runnerOrders: number(),
  reigns: number(),
  voterChanges: number(),
  repairMs: array(number()),
  leaderlessMs: array(number()),
  reads: number(),
  accepted: number(),
  refused: number(),
  unclear: number(),
  attempts: number(),
});

/** A seed's result as it comes from another process. */
export const SeedResultShape = object({
  seed: number(),
  violations: array(ViolationShape),
  figures: FiguresShape,
});

/** What one seed gave. */
export interface SeedResult extends Infer<typeof SeedResultShape> {
  readonly violations: RunViolation[];
  readonly figures: RunFigures & Infer<typeof FiguresShape>;
}

/** Runs the options and the schedule that a seed draws. */
export function runSeed(seed: number, nodes: 3 | 5, log?: RunLog): SeedResult {
  const options = drawOptions(seed, nodes);
  const { violations, figures } = simulate(options, drawSchedule(options), log);
  const { repairMs, leaderlessMs } = figures;
  const copied = { ...figures, repairMs: [...repairMs], leaderlessMs: [...leaderlessMs] };
  return { seed, violations: [...violations], figures: copied };
}
