import type { History } from './history/history.js';
import { checkHistory } from './history/history-check.js';
import { violationText } from './history/violation.js';
import { amendDocument } from '../control/testing/plain-dialect.js';

/** A violation found in a history. */
export interface HistoryFinding {
  /** The violated rule. */
  readonly rule: string;
  /** A description of the violation. */
  readonly text: string;
}

/** Checks what operators observed against the sequential model. */
export function judgeHistory(history: History): readonly HistoryFinding[] {
  const findings: HistoryFinding[] = [];
  for (const violation of checkHistory(history, { amend: amendDocument })) {
    const text = violationText(violation).slice(violation.rule.length + 2);
    findings.push({ rule: violation.rule, text });
  }
  return findings;
}
