/** Kinds of trouble that come from clients and from what they ask for. */
import type { TroubleFields } from '../day.js';
import type { KindTable } from '../kind-of-trouble.js';
import type { Random } from '../random.js';
import type { Site } from '../site.js';

/** Troubles of traffic, by the names of day files. */
export const TRAFFIC_KINDS: KindTable = {
  burst: { target: 'traffic', part: 'faults', weight: 2, draw: drawBurst },
  retry_abuse: { target: 'traffic', part: 'faults', weight: 1, draw: drawRetryAbuse },
  give_up: { target: 'traffic', part: 'faults', weight: 2, draw: drawGiveUp },
  model_shift: { target: 'traffic', part: 'plan', weight: 2, draw: drawModelShift },
};

function drawBurst(random: Random, site: Site): TroubleFields {
  const x = random.between(1.3, 2.2);
  const for_s = random.between(2, 4.5);
  if (random.chance(0.3)) return { zone: random.choice(site.zones), x, for_s };
  return { class: random.choice(site.requestKinds), x, for_s };
}

function drawRetryAbuse(random: Random): TroubleFields {
  return { share: random.between(0.1, 0.3), x: random.whole(1, 3), for_s: random.between(3, 6) };
}

function drawModelShift(random: Random): TroubleFields {
  return { count: random.whole(1, 2), for_s: random.between(4.5, 6.5) };
}

function drawGiveUp(random: Random): TroubleFields {
  const share = random.between(0.1, 0.4);
  return { share, x: random.between(20, 400), for_s: random.between(3, 8) };
}
