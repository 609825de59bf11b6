/** Kinds of trouble that strike runners. */
import type { TroubleFields } from '../day.js';
import type { KindTable } from '../kind-of-trouble.js';
import type { Random } from '../random.js';
import type { Site } from '../site.js';
import { joinWords } from './aims.js';

const GARBLE_SHAPES = ['', 'extra', 'extra late', 'unframed', 'early'] as const;
const SERVER_CUT_SHAPES = ['', 'fronts', 'one_way', 'reset', 'fronts reset'] as const;
/** Whether the share is taken of all copies of a service; 'all' strikes every server of it, whatever the share. */
const SPREADS = ['', '', '', 'across', 'all'] as const;
/** Where servers do not come back, striking all would leave nothing that could serve. */
const LASTING_SPREADS = ['', '', 'across'] as const;
const ONE_ZONE_PROBABILITY = 0.25;
const GREY_SHAPES = ['errors', 'shed', 'busy', 'hang', 'reset', 'mute', 'slow'] as const;

/** Troubles of runners, by the names of day files. */
export const RUNNER_KINDS: KindTable = {
  srv_crash: { target: 'runners', part: 'faults', weight: 2, draw: drawServerCrash },
  srv_slow: { target: 'runners', part: 'faults', weight: 1, draw: drawServerSlow },
  srv_grey: { target: 'runners', part: 'faults', weight: 2, draw: drawServerGrey },
  srv_lying_health: { target: 'runners', part: 'faults', weight: 1, draw: drawLyingHealth },
  srv_flap: { target: 'runners', part: 'faults', weight: 1, draw: drawServerFlap },
  release: { target: 'runners', part: 'plan', weight: 1, draw: drawRelease },
  scale_in: { target: 'runners', part: 'faults', weight: 1, draw: drawScaleIn },
  scale_out: { target: 'runners', part: 'plan', weight: 1, draw: drawScaleOut },
  answer_lost: { target: 'runners', part: 'faults', weight: 3, draw: drawAnswerLost },
  garble: { target: 'runners', part: 'faults', weight: 3, draw: drawGarble },
  replace_with_reuse: { target: 'runners', part: 'faults', weight: 2, draw: drawReuse },
  cold_return: { target: 'runners', part: 'faults', weight: 1, draw: drawColdReturn },
  srv_cut: { target: 'runners', part: 'faults', weight: 3, draw: drawServerCut },
  idle_race: { target: 'runners', part: 'faults', weight: 2, draw: drawIdleRace },
};

function drawServerCrash(random: Random, site: Site): TroubleFields {
  const loss = random.choice(['', 'dark', 'gone']);
  const how = joinWords([loss, random.choice(loss === 'gone' ? LASTING_SPREADS : SPREADS)]);
  const for_s = random.between(2, 6);
  return { service: site.modelService, share: random.between(0.08, 0.2), for_s, how };
}

function drawServerSlow(random: Random, site: Site): TroubleFields {
  const x = random.between(2, 5);
  return { service: site.modelService, share: random.between(0.08, 0.18), x, for_s: 5 };
}

function drawServerGrey(random: Random, site: Site): TroubleFields {
  const how = random.choice(GREY_SHAPES);
  const x = how === 'slow' ? random.between(4, 8) : random.between(0.2, 0.5);
  const grey = { service: site.modelService, share: random.between(0.08, 0.16), x, for_s: 5 };
  if (!random.chance(ONE_ZONE_PROBABILITY)) return { ...grey, how };
  return { ...grey, how: joinWords([how, 'one_zone']), to_zone: random.choice(site.zones) };
}

function drawLyingHealth(random: Random): TroubleFields {
  const how = random.choice(['errors', 'hang', 'reset', 'bad']);
  return { share: random.between(0.06, 0.12), for_s: random.between(3, 7), how };
}

function drawServerFlap(random: Random): TroubleFields {
  return { share: random.between(0.05, 0.1), gap_s: random.between(0.8, 1.6), for_s: 6 };
}

function drawRelease(random: Random, site: Site): TroubleFields {
  const gap_s = random.between(0.7, 1.2);
  return { service: site.modelService, share: random.between(0.08, 0.2), x: 1, gap_s };
}

function drawScaleIn(random: Random, site: Site): TroubleFields {
  const share = random.between(0.08, 0.15);
  if (random.chance(0.5)) return { service: site.modelService, share };
  return { service: site.modelService, share, how: 'spot', x: random.between(1.5, 2.5) };
}

function drawScaleOut(random: Random, site: Site): TroubleFields {
  const gap_s = random.between(0.5, 3);
  return { service: site.modelService, share: random.between(0.1, 0.3), gap_s };
}

function drawAnswerLost(random: Random, site: Site): TroubleFields {
  const how = random.choice(['', 'reset']);
  const x = random.between(0.02, 0.08);
  const service = random.choice([site.modelService, ...site.plainServices]);
  return { service, share: random.between(0.3, 0.7), x, for_s: random.between(3, 7), how };
}

function drawGarble(random: Random, site: Site): TroubleFields {
  const how = random.choice(GARBLE_SHAPES);
  const x = random.between(0.01, 0.05);
  const service = random.choice([site.modelService, ...site.plainServices]);
  return { service, share: random.between(0.3, 0.7), x, for_s: random.between(3, 7), how };
}

function drawReuse(random: Random, site: Site): TroubleFields {
  const how = joinWords([random.choice(['', 'drain', 'dark']), random.choice(LASTING_SPREADS)]);
  return { service: site.modelService, share: random.between(0.08, 0.15), how };
}

function drawColdReturn(random: Random, site: Site): TroubleFields {
  const for_s = random.between(2, 5);
  return { zone: random.choice(site.zones), for_s, how: random.choice(['', 'dark']) };
}

function drawIdleRace(random: Random): TroubleFields {
  return { share: random.between(0.3, 0.7), x: random.between(100, 600), for_s: 6 };
}

function drawServerCut(random: Random, site: Site): TroubleFields {
  const how = random.choice(SERVER_CUT_SHAPES);
  const cut = { share: random.between(0.1, 0.3), for_s: random.between(2, 8), how };
  const service = random.choice([site.modelService, ...site.plainServices]);
  return how.includes('fronts')
    ? { service, ...cut, x: random.between(0.2, 0.5) }
    : { service, ...cut };
}
