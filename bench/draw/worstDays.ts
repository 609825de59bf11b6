/** Fixed days that bring about, one by one, what the users of such systems meet on their worst days. */
import type { Day } from './Day.js';
import type { Site } from './Site.js';
import { listAnswerDays } from './worst/answerDays.js';
import { listCutDays } from './worst/cutDays.js';
import { listLongDays } from './worst/longDays.js';
import { listOperatorDays } from './worst/operatorDays.js';
import { listSecondLossDays } from './worst/secondLossDays.js';

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
