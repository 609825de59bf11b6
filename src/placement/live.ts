import { array, boolean, number, string, type, type Infer } from 'superstruct';

/** A placement as operators see it: the runner, its zone, and whether the model is ready there. */
const LivePlacementShape = type({ runner: string(), zone: string(), isReady: boolean() });

/** One model of the policy table with its placements, its demand, and what it waits for and since how long. */
export const LiveModelShape = type({
  model: string(),
  rows: array(string()),
  rate: number(),
  primary: LivePlacementShape,
  understudy: LivePlacementShape,
  wait: string(),
  waitMs: number(),
});
/** A model with its placements, demand and waits, for operators. */
export type LiveModel = Infer<typeof LiveModelShape>;

/** The policy table with the current placements, for operators. */
export const LiveTableShape = type({
  number: number(),
  emptied: array(string()),
  underWay: number(),
  rows: array(type({ row: string(), weight: number(), take: number(), rate: number() })),
  models: array(LiveModelShape),
});
/** The policy table with the current placements. */
export type LiveTable = Infer<typeof LiveTableShape>;
