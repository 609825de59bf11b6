/** Kinds of event that affect runners. */
import type { EventFields } from '../day.js';
import type { EventKindTable } from '../event-kind.js';
import type { Random } from '../random.js';
import type { Site } from '../site.js';
import { joinWords } from './machine-selectors.js';

const GARBLE_MODES = ['', 'extra', 'extra late', 'unframed', 'early'] as const;
const SERVER_CUT_MODES = ['', 'fronts', 'one_way', 'reset', 'fronts reset'] as const;
/** Whether the share is taken across all copies of a service; 'all' affects every server, whatever the share. */
const SPREADS = ['', '', '', 'across', 'all'] as const;
/** Without 'all': the servers do not come back, so losing all of them would leave none to serve requests. */
const PERMANENT_LOSS_SPREADS = ['', '', 'across'] as const;
const ONE_ZONE_PROBABILITY = 0.25;
const GREY_FAILURE_MODES = ['errors', 'shed', 'busy', 'hang', 'reset', 'mute', 'slow'] as const;

/** Kinds of event of runners by their names in day files. */
export const RUNNER_KINDS: EventKindTable = {
  srv_crash: { target: 'runners', section: 'faults', weight: 2, draw: drawServerCrash },
  srv_slow: { target: 'runners', section: 'faults', weight: 1, draw: drawServerSlow },
  srv_grey: { target: 'runners', section: 'faults', weight: 2, draw: drawServerGrey },
  srv_lying_health: { target: 'runners', section: 'faults', weight: 1, draw: drawLyingHealth },
  srv_flap: { target: 'runners', section: 'faults', weight: 1, draw: drawServerFlap },
  release: { target: 'runners', section: 'plan', weight: 1, draw: drawRelease },
  scale_in: { target: 'runners', section: 'faults', weight: 1, draw: drawScaleIn },
  scale_out: { target: 'runners', section: 'plan', weight: 1, draw: drawScaleOut },
  answer_lost: { target: 'runners', section: 'faults', weight: 3, draw: drawAnswerLost },
  garble: { target: 'runners', section: 'faults', weight: 3, draw: drawGarble },
  replace_with_reuse: { target: 'runners', section: 'faults', weight: 2, draw: drawAddressReuse },
  cold_return: { target: 'runners', section: 'faults', weight: 1, draw: drawColdReturn },
  srv_cut: { target: 'runners', section: 'faults', weight: 3, draw: drawServerCut },
  idle_race: { target: 'runners', section: 'faults', weight: 2, draw: drawIdleRace },
};

function drawServerCrash(random: Random, site: Site): EventFields {
  const loss = random.choice(['', 'dark', 'gone']);
  const how = joinWords([loss, random.choice(loss === 'gone' ? PERMANENT_LOSS_SPREADS : SPREADS)]);
  const for_s = random.between(2, 6);
  return { service: site.modelService, share: random.between(0.08, 0.2), for_s, how };
}

function drawServerSlow(random: Random, site: Site): EventFields {
  const x = random.between(2, 5);
  return { service: site.modelService, share: random.between(0.08, 0.18), x, for_s: 5 };
}

function drawServerGrey(random: Random, site: Site): EventFields {
  const how = random.choice(GREY_FAILURE_MODES);
  const x = how === 'slow' ? random.between(4, 8) : random.between(0.2, 0.5);
  const grey = { service: site.modelService, share: random.between(0.08, 0.16), x, for_s: 5 };
  if (!random.chance(ONE_ZONE_PROBABILITY)) return { ...grey, how };
  return { ...grey, how: joinWords([how, 'one_zone']), to_zone: random.choice(site.zones) };
}

function drawLyingHealth(random: Random): EventFields {
  const how = random.choice(['errors', 'hang', 'reset', 'bad']);
  return { share: random.between(0.06, 0.12), for_s: random.between(3, 7), how };
}

function drawServerFlap(random: Random): EventFields {
  return { share: random.between(0.05, 0.1), gap_s: random.between(0.8, 1.6), for_s: 6 };
}

function drawRelease(random: Random, site: Site): EventFields {
  const gap_s = random.between(0.7, 1.2);
  return { service: site.modelService, share: random.between(0.08, 0.2), x: 1, gap_s };
}

function drawScaleIn(random: Random, site: Site): EventFields {
  const share = random.between(0.08, 0.15);
  if (random.chance(0.5)) return { service: site.modelService, share };
  return { service: site.modelService, share, how: 'spot', x: random.between(1.5, 2.5) };
}

function drawScaleOut(random: Random, site: Site): EventFields {
  const gap_s = random.between(0.5, 3);
  return { service: site.modelService, share: random.between(0.1, 0.3), gap_s };
}

function drawAnswerLost(random: Random, site: Site): EventFields {
  const how = random.choice(['', 'reset']);
  const x = random.between(0.02, 0.08);
  const service = random.choice([site.modelService, ...site.plainServices]);
  return { service, share: random.between(0.3, 0.7), x, for_s: random.between(3, 7), how };
}

function drawGarble(random: Random, site: Site): EventFields {
  const how = random.choice(GARBLE_MODES);
  const x = random.between(0.01, 0.05);
  const service = random.choice([site.modelService, ...site.plainServices]);
  return { service, share: random.between(0.3, 0.7), x, for_s: random.between(3, 7), how };
}

function drawAddressReuse(random: Random, site: Site): EventFields {
  const how = joinWords([
    random.choice(['', 'drain', 'dark']),
    random.choice(PERMANENT_LOSS_SPREADS),
  ]);
  return { service: site.modelService, share: random.between(0.08, 0.15), how };
}

function drawColdReturn(random: Random, site: Site): EventFields {
  const for_s = random.between(2, 5);
  return { zone: random.choice(site.zones), for_s, how: random.choice(['', 'dark']) };
}

function drawIdleRace(random: Random): EventFields {
  return { share: random.between(0.3, 0.7), x: random.between(100, 600), for_s: 6 };
}

function drawServerCut(random: Random, site: Site): EventFields {
  const how = random.choice(SERVER_CUT_MODES);
  const cut = { share: random.between(0.1, 0.3), for_s: random.between(2, 8), how };
  const service = random.choice([site.modelService, ...site.plainServices]);
  return how.includes('fronts')
    ? { service, ...cut, x: random.between(0.2, 0.5) }
    : { service, ...cut };
}
