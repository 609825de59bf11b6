/** Kinds of event caused by clients and their requests. */
import type { EventFields } from '../day.js';
import type { EventKindTable } from '../event-kind.js';
import type { Random } from '../random.js';
import type { Site } from '../site.js';

/** Kinds of event of traffic by their names in day files. */
export const TRAFFIC_KINDS: EventKindTable = {
  burst: { target: 'traffic', section: 'faults', weight: 2, draw: drawBurst },
  retry_abuse: { target: 'traffic', section: 'faults', weight: 1, draw: drawRetryAbuse },
  give_up: { target: 'traffic', section: 'faults', weight: 2, draw: drawGiveUp },
  model_shift: { target: 'traffic', section: 'plan', weight: 2, draw: drawModelShift },
};

function drawBurst(random: Random, site: Site): EventFields {
  const x = random.between(1.3, 2.2);
  const for_s = random.between(2, 4.5);
  if (random.chance(0.3)) return { zone: random.choice(site.zones), x, for_s };
  return { class: random.choice(site.requestClasses), x, for_s };
}

function drawRetryAbuse(random: Random): EventFields {
  return { share: random.between(0.1, 0.3), x: random.integer(1, 3), for_s: random.between(3, 6) };
}

function drawModelShift(random: Random): EventFields {
  return { count: random.integer(1, 2), for_s: random.between(4.5, 6.5) };
}

function drawGiveUp(random: Random): EventFields {
  const share = random.between(0.1, 0.4);
  return { share, x: random.between(20, 400), for_s: random.between(3, 8) };
}
