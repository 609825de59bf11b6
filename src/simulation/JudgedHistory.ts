import type { History } from './history/History.js';
import { checkHistory } from './history/HistoryCheck.js';
import { violationText } from './history/Violation.js';
import { amendDocument } from '../control/testing/PlainDialect.js';

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
