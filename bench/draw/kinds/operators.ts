/** Kinds of event of operators: configuration changes, races, evacuations and lost responses. */
import type { EventFields } from '../day.js';
import type { EventKindTable } from '../event-kind.js';
import type { Random } from '../random.js';
import type { Site } from '../site.js';

const SHORT_EVACUATION_PROBABILITY = 0.3;
const CONFIG_CHANGES = ['route', 'weights', 'timeout', 'tenant', 'quota', 'idle'] as const;
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

/** Kinds of event of operators by their names in day files. */
export const OPERATOR_KINDS: EventKindTable = {
  ack_lost: { target: 'control', section: 'faults', weight: 3, draw: drawAckLost },
  config_change: { target: 'control', section: 'plan', weight: 3, draw: drawConfigChange },
  config_storm: { target: 'control', section: 'plan', weight: 2, draw: drawConfigStorm },
  config_race: { target: 'control', section: 'plan', weight: 3, draw: drawConfigRace },
  bad_config: { target: 'control', section: 'plan', weight: 2, draw: drawBadConfig },
  big_config: { target: 'control', section: 'plan', weight: 1, draw: drawBigConfig },
  evacuate: { target: 'control', section: 'plan', weight: 3, draw: drawEvacuate },
};

function drawAckLost(random: Random): EventFields {
  return { x: random.between(0.3, 0.9), for_s: random.between(3, 10) };
}

function drawConfigChange(random: Random): EventFields {
  return { how: random.choice(CONFIG_CHANGES) };
}

function drawConfigStorm(random: Random, _site: Site, intensity: number): EventFields {
  return { for_s: random.between(2, 5 + 5 * intensity), gap_s: random.between(0.06, 0.4) };
}

function drawConfigRace(random: Random): EventFields {
  return { count: random.integer(1, 5), gap_s: random.between(0.2, 1.5) };
}

function drawBadConfig(random: Random): EventFields {
  const how = random.choice(BAD_CONFIGS);
  return { count: random.integer(1, 4), gap_s: random.between(0.3, 1.2), how };
}

function drawBigConfig(random: Random): EventFields {
  return { count: random.integer(100, 400) };
}

function drawEvacuate(random: Random, site: Site): EventFields {
  const how = random.choice(['', 'warm']);
  const zone = random.choice(site.zones);
  // An evacuation that is revoked at once reveals late copies of either order.
  if (random.chance(SHORT_EVACUATION_PROBABILITY))
    return { zone, for_s: random.between(0.4, 2), how };
  return { zone, for_s: random.between(3, 9), how };
}
