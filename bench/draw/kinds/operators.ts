/** Kinds of trouble that operators bring about: changes, races, evacuations and lost answers. */
import type { TroubleFields } from '../day.js';
import type { KindTable } from '../kind-of-trouble.js';
import type { Random } from '../random.js';
import type { Site } from '../site.js';

const SHORT_EVACUATION_PROBABILITY = 0.3;
const CHANGES = ['route', 'weights', 'timeout', 'tenant', 'quota', 'idle'] as const;
const BAD_CONFIGS = [
  'cut_short',
  'unknown_service',
  'same_place',
  'no_weight',
  'no_timeout',
  'old_version',
  'same_version',
  'stale_match',
  'shared_key',
] as const;

/** The work of operators, by the names of day files. */
export const OPERATOR_KINDS: KindTable = {
  ack_lost: { target: 'control', part: 'faults', weight: 3, draw: drawAckLost },
  config_change: { target: 'control', part: 'plan', weight: 3, draw: drawConfigChange },
  config_storm: { target: 'control', part: 'plan', weight: 2, draw: drawConfigStorm },
  config_race: { target: 'control', part: 'plan', weight: 3, draw: drawConfigRace },
  bad_config: { target: 'control', part: 'plan', weight: 2, draw: drawBadConfig },
  big_config: { target: 'control', part: 'plan', weight: 1, draw: drawBigConfig },
  evacuate: { target: 'control', part: 'plan', weight: 3, draw: drawEvacuate },
};

function drawAckLost(random: Random): TroubleFields {
  return { x: random.between(0.3, 0.9), for_s: random.between(3, 10) };
}

function drawConfigChange(random: Random): TroubleFields {
  return { how: random.choice(CHANGES) };
}

function drawConfigStorm(random: Random, _site: Site, strength: number): TroubleFields {
  return { for_s: random.between(2, 5 + 5 * strength), gap_s: random.between(0.06, 0.4) };
}

function drawConfigRace(random: Random): TroubleFields {
  return { count: random.whole(1, 5), gap_s: random.between(0.2, 1.5) };
}

function drawBadConfig(random: Random): TroubleFields {
  const how = random.choice(BAD_CONFIGS);
  return { count: random.whole(1, 4), gap_s: random.between(0.3, 1.2), how };
}

function drawBigConfig(random: Random): TroubleFields {
  return { count: random.whole(100, 400) };
}

function drawEvacuate(random: Random, site: Site): TroubleFields {
  const how = random.choice(['', 'warm']);
  const zone = random.choice(site.zones);
  // One that is taken back at once shows late copies of either order.
  if (random.chance(SHORT_EVACUATION_PROBABILITY))
    return { zone, for_s: random.between(0.4, 2), how };
  return { zone, for_s: random.between(3, 9), how };
}
