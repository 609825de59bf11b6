import { existsSync, readFileSync } from 'node:fs';
import { boolean, number, optional, string, type, type Infer } from 'superstruct';
import { parseAs } from '../common/json.js';

/** The result of one request, as its caller saw it. */
export const CallerShape = type({
  what: string(),
  id: string(),
  type: string(),
  model: string(),
  once: boolean(),
  flow: string(),
  sentAt: number(),
  endedAt: number(),
  status: number(),
  outcome: string(),
  run: string(),
  isWhole: boolean(),
  fault: string(),
  retryAfter: number(),
  table: number(),
});
/** A record that a caller writes at the end of each request. */
export type CallerRecord = Infer<typeof CallerShape>;

const BackShape = type({
  at: number(),
  what: string(),
  runner: optional(string()),
  id: optional(string()),
  run: optional(string()),
  model: optional(string()),
  adapter: optional(string()),
  parts: optional(number()),
  kept: optional(number()),
  upMs: optional(number()),
  concurrent: optional(number()),
  whole: optional(boolean()),
  order: optional(string()),
  verb: optional(string()),
  holder: optional(string()),
  epoch: optional(number()),
  isRepeat: optional(boolean()),
  overRoom: optional(boolean()),
  staleBoot: optional(boolean()),
  over: optional(boolean()),
  running: optional(number()),
  leaving: optional(boolean()),
  revision: optional(number()),
  boot: optional(string()),
});
/** A record of a runner, a plain back end, the weight store or the platform. Optional fields depend on `what`. */
export type BackRecord = Infer<typeof BackShape>;

/** An action of the rehearsal itself, or a result that it received. */
export const EventShape = type({
  at: number(),
  what: string(),
  zone: optional(string()),
  node: optional(string()),
  number: optional(number()),
  runner: optional(string()),
  id: optional(string()),
  status: optional(number()),
});
/** An event of the rehearsal. Optional fields depend on `what`. */
export type EventRecord = Infer<typeof EventShape>;

function readLines(path: string): string[] {
  return existsSync(path) ? readFileSync(path, 'utf8').split('\n') : [];
}

/** Reads the records of all files that exist, sorted by time. */
export function readBackRecords(paths: readonly string[]): BackRecord[] {
  const list: BackRecord[] = [];
  for (const path of paths) {
    for (const line of readLines(path)) {
      // Skips a line that is truncated because its writer was killed.
      const record = line === '' ? undefined : parseAs(BackShape, line);
      if (record) list.push(record);
    }
  }
  return list.sort(byTime);
}

function byTime(a: BackRecord, b: BackRecord): number {
  return a.at - b.at;
}
