import { array, boolean, number, string, type, type Infer } from 'superstruct';

/** A seat as operators see it: where, in which zone, and whether it serves now. */
const LiveSeatShape = type({ runner: string(), zone: string(), isReady: boolean() });

/** One model of the table with its places, and who waits for what and for how long. */
export const LiveModelShape = type({
  model: string(),
  rows: array(string()),
  rate: number(),
  primary: LiveSeatShape,
  understudy: LiveSeatShape,
  wait: string(),
  waitMs: number(),
});
/** A model with its places, demand and waits, for operators. */
export type LiveModel = Infer<typeof LiveModelShape>;

/** The table with its places beside it, for operators. */
export const LiveShape = type({
  number: number(),
  emptied: array(string()),
  underWay: number(),
  rows: array(type({ row: string(), weight: number(), take: number(), rate: number() })),
  models: array(LiveModelShape),
});
/** The table with its places beside it. */
export type Live = Infer<typeof LiveShape>;
