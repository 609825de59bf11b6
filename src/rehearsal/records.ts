import { existsSync, readFileSync } from 'node:fs';
import { boolean, number, optional, string, type, type Infer } from 'superstruct';
import { parseAs } from '../common/json.js';

/** What a caller saw of one request. */
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
export type BackRecord = Infer<typeof BackShape>;

/** What the rehearsal itself did or was told. */
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
export type EventRecord = Infer<typeof EventShape>;

function lines(path: string): string[] {
  return existsSync(path) ? readFileSync(path, 'utf8').split('\n') : [];
}

export function readBackRecords(paths: readonly string[]): BackRecord[] {
  const list: BackRecord[] = [];
  for (const path of paths) {
    for (const line of lines(path)) {
      // A line cut off by a kill is no record.
      const record = line === '' ? undefined : parseAs(BackShape, line);
      if (record) list.push(record);
    }
  }
  return list.sort(byTime);
}

function byTime(a: BackRecord, b: BackRecord): number {
  return a.at - b.at;
}
