import type { History } from './history/history.js';
import { checkHistory } from './history/history-check.js';
import { violationText } from './history/violation.js';
import { amendDocument } from '../control/testing/plain-dialect.js';

export interface HistoryFinding {
  readonly rule: string;
  readonly text: string;
}

/** Judges what operators saw against the sequential model. */
export function judgeHistory(history: History): readonly HistoryFinding[] {
  const findings: HistoryFinding[] = [];
  for (const violation of checkHistory(history, { amend: amendDocument })) {
    const text = violationText(violation).slice(violation.rule.length + 2);
    findings.push({ rule: violation.rule, text });
  }
  return findings;
}
