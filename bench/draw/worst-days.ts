/** Fixed days that bring about, one by one, what the users of such systems meet on their worst days. */
import type { Day } from './day.js';
import type { Site } from './site.js';
import { listAnswerDays } from './worst/answer-days.js';
import { listCutDays } from './worst/cut-days.js';
import { listLongDays } from './worst/long-days.js';
import { listOperatorDays } from './worst/operator-days.js';
import { listSecondLossDays } from './worst/second-loss-days.js';

/** All fixed days for a site. */
export function listWorstDays(site: Site): Day[] {
  return [
    ...listCutDays(),
    ...listOperatorDays(),
    ...listSecondLossDays(site),
    ...listLongDays(site),
    ...listAnswerDays(site),
  ];
}
