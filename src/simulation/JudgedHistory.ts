import type { History } from './History.js';

export interface HistoryFinding {
  readonly rule: string;
  readonly text: string;
}

/** Judges what operators saw. */
export function judgeHistory(_history: History): readonly HistoryFinding[] {
  return [];
}
