/** Fixed days that reproduce the worst incidents known from systems of this type. */
import type { Day } from './day.js';
import type { Site } from './site.js';
import { listAnswerDays } from './worst/answer-days.js';
import { listCutDays } from './worst/cut-days.js';
import { listLongDays } from './worst/long-days.js';
import { listOperatorDays } from './worst/operator-days.js';
import { listSecondLossDays } from './worst/second-loss-days.js';

/** Lists all fixed days for a site. */
export function listWorstDays(site: Site): Day[] {
  return [
    ...listCutDays(),
    ...listOperatorDays(),
    ...listSecondLossDays(site),
    ...listLongDays(site),
    ...listAnswerDays(site),
  ];
}
