import type { SimulationOptions } from './options.js';
import { drawOptions } from './schedule-draw.js';

/** The options that a shape fixes; all others are drawn from the seed. */
type ShapeOptions = Partial<Omit<SimulationOptions, 'seed' | 'nodes'>> &
  Pick<SimulationOptions, 'nodes'>;

const LONG_TROUBLE_MS = 60_000;
/** With this mean time between actions, two operators make hundreds of changes in a long run. */
const LONG_PACE_MS = 60;
const LONG = { troubleMs: LONG_TROUBLE_MS, paceMs: LONG_PACE_MS } as const;

/** The shapes of runs: sizes of the fleet, and lengths. */
export const RUN_SHAPES = {
  three: { nodes: 3 },
  five: { nodes: 5 },
  'three-spare': { nodes: 3, spares: 1 },
  'five-spares': { nodes: 5, spares: 2 },
  'three-any-loss': { nodes: 3, spares: 1, lossLimit: 'any' },
  'five-any-loss': { nodes: 5, spares: 1, lossLimit: 'any' },
  'three-one-operator': { nodes: 3, operators: 1 },
  'three-long': { nodes: 3, spares: 1, ...LONG },
  'five-long': { nodes: 5, spares: 1, ...LONG },
} as const satisfies Record<string, ShapeOptions>;
/** The name of a shape. */
export type RunShape = keyof typeof RUN_SHAPES;

/** Twenty consecutive seeds have these shapes, so that any part of a batch has them in the same proportions. */
const SHAPE_MIX: readonly RunShape[] = [
  'three',
  'five',
  'three-spare',
  'three',
  'five',
  'five-spares',
  'three',
  'three-any-loss',
  'five',
  'three-one-operator',
  'three',
  'three-spare',
  'five',
  'five-any-loss',
  'three',
  'five',
  'five-spares',
  'three',
  'three-spare',
  'three',
];
/** In a hundred seeds one of each size is long: such a run takes as much processor time as ten others. */
const LONG_RUN_CYCLE = 100;
const LONG_THREE_REMAINDER = 15;
const LONG_FIVE_REMAINDER = 65;

function isRunShape(text: string): text is RunShape {
  return text in RUN_SHAPES;
}

/** The names of all shapes. */
export const SHAPE_NAMES: readonly RunShape[] = Object.keys(RUN_SHAPES).filter(isRunShape);

/** The name that requests the mix of all shapes. */
export const MIXED = 'mixed';
/** The shape requested for a batch: one shape, or the mix of all. */
export type RequestedShape = RunShape | typeof MIXED;
/** All values that can be requested. */
export const REQUESTED_SHAPES: readonly RequestedShape[] = [...SHAPE_NAMES, MIXED];

/** Whether a text is a shape that can be requested. */
export function isRequestedShape(text: string): text is RequestedShape {
  return text === MIXED || isRunShape(text);
}

function mixedShapeOf(seed: number): RunShape {
  if (seed % LONG_RUN_CYCLE === LONG_THREE_REMAINDER) return 'three-long';
  if (seed % LONG_RUN_CYCLE === LONG_FIVE_REMAINDER) return 'five-long';
  return SHAPE_MIX[seed % SHAPE_MIX.length] ?? 'three';
}

/** The shape of the run of a seed. */
export function shapeOf(seed: number, requested: RequestedShape): RunShape {
  return requested === MIXED ? mixedShapeOf(seed) : requested;
}

/** The options of the run of a seed: those that the shape fixes; the others are drawn from the seed. */
export function optionsOf(seed: number, shape: RunShape): SimulationOptions {
  const fixed = RUN_SHAPES[shape];
  return { ...drawOptions(seed, fixed.nodes), ...fixed };
}
