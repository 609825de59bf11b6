import type { SimulationOptions } from './options.js';
import { drawOptions } from './schedule-draw.js';

/** What of a run is fixed; all else is drawn from its seed. */
type ShapeOptions = Partial<Omit<SimulationOptions, 'seed' | 'nodes'>> &
  Pick<SimulationOptions, 'nodes'>;

const LONG_TROUBLE_MS = 60_000;
/** At this pace two operators make hundreds of changes in a long run. */
const LONG_PACE_MS = 60;
const LONG = { troubleMs: LONG_TROUBLE_MS, paceMs: LONG_PACE_MS } as const;

/** The fleets and lengths that runs have. */
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
export type RunShape = keyof typeof RUN_SHAPES;

/** Twenty seeds in a row have these shapes, so that any part of a batch has them in these shares. */
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
/** Of a hundred seeds one of each size is long: such a run takes as much processor time as ten others. */
const LONG_RUN_CYCLE = 100;
const LONG_THREE_REMAINDER = 15;
const LONG_FIVE_REMAINDER = 65;

function isRunShape(text: string): text is RunShape {
  return text in RUN_SHAPES;
}

export const SHAPE_NAMES: readonly RunShape[] = Object.keys(RUN_SHAPES).filter(isRunShape);

/** What a batch asks for: one shape, or the mix of all. */
export const MIXED = 'mixed';
export type RequestedShape = RunShape | typeof MIXED;
export const REQUESTED_SHAPES: readonly RequestedShape[] = [...SHAPE_NAMES, MIXED];

export function isRequestedShape(text: string): text is RequestedShape {
  return text === MIXED || isRunShape(text);
}

function mixedShapeOf(seed: number): RunShape {
  if (seed % LONG_RUN_CYCLE === LONG_THREE_REMAINDER) return 'three-long';
  if (seed % LONG_RUN_CYCLE === LONG_FIVE_REMAINDER) return 'five-long';
  return SHAPE_MIX[seed % SHAPE_MIX.length] ?? 'three';
}

export function shapeOf(seed: number, wanted: RequestedShape): RunShape {
  return wanted === MIXED ? mixedShapeOf(seed) : wanted;
}

/** The options of a seed's run: those of its shape, and for the rest what the seed draws. */
export function optionsOf(seed: number, shape: RunShape): SimulationOptions {
  const fixed = RUN_SHAPES[shape];
  return { ...drawOptions(seed, fixed.nodes), ...fixed };
}
