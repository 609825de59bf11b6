/** Clusters of troubles: drawn sequences, each aimed at one thing that control sides are known to get wrong. */
import type { Trouble } from './day.js';
import { AIMS, drawExtras, joinWords } from './kinds/aims.js';
import type { Random } from './random.js';
import type { Site } from './site.js';

/** One cluster: the troubles that begin at `start`, in seconds of the day. */
export type DrawCluster = (random: Random, site: Site, start: number) => Trouble[];

const LONG_CUT_SECONDS = { least: 17, most: 23 } as const;
/** When the second loss strikes after the first is made good: before, at and after the end of the catch-up. */
const SECOND_LOSS_SECONDS = { least: 0.2, most: 6 } as const;
const STORM_SECONDS = 9;
const STORM_GAP_SECONDS = 0.1;
const LONG_CUT_SHAPES = [
  '',
  'one_way',
  'reset',
  'refuse',
  'both',
  'seeds',
  'lure',
  'near',
] as const;
const CHANGE_SHAPES = ['route', 'weights', 'timeout', 'idle'] as const;

/** The clusters by name. */
export const CLUSTERS: Readonly<Record<string, DrawCluster>> = {
  long_cut: drawLongCut,
  two_operators: drawTwoOperators,
  second_loss: drawSecondLoss,
  return_after_changes: drawReturnAfterChanges,
  answers: drawAnswers,
};

/** A control machine is cut off for some twenty seconds, while operators go on and the rest is troubled once. */
function drawLongCut(random: Random, site: Site, start: number): Trouble[] {
  const cutSeconds = random.between(LONG_CUT_SECONDS.least, LONG_CUT_SECONDS.most);
  const aim = random.choice(AIMS);
  const how = joinWords([aim, random.choice(LONG_CUT_SHAPES), ...drawExtras(random)]);
  const duringSeconds = start + random.between(6, 14);
  return [
    { at: start, kind: 'core_cut', count: 1, for_s: cutSeconds, how },
    ...drawChanges(random, start + 1, cutSeconds + 4, 2.2),
    { at: start + 4, kind: 'config_race', count: 4, gap_s: random.between(0.3, 1.2) },
    { at: start + 9, kind: 'evacuate', zone: random.choice(site.zones), for_s: 4, how: 'warm' },
    { at: start + 11, kind: 'bad_config', count: 2, gap_s: 0.7, how: 'stale_match' },
    { at: duringSeconds, kind: 'ack_lost', x: 0.7, for_s: 8 },
    { at: start + cutSeconds - 1, kind: 'config_race', count: 3, gap_s: 0.6 },
    drawShortLoss(random, start + cutSeconds + random.between(0.1, 5)),
  ];
}

/** Two operators at once, whose answers get lost while the leader is troubled. */
function drawTwoOperators(random: Random, site: Site, start: number): Trouble[] {
  const troubles: Trouble[] = [
    { at: start, kind: 'ack_lost', x: random.between(0.5, 0.95), for_s: 12 },
    { at: start + 0.2, kind: 'config_race', count: 5, gap_s: random.between(0.2, 0.8) },
    { at: start + 6, kind: 'config_race', count: 5, gap_s: random.between(0.2, 0.8) },
    { at: start + 3, kind: 'bad_config', count: 3, gap_s: 0.5, how: 'same_version' },
    { at: start + 4, kind: 'evacuate', zone: random.choice(site.zones), for_s: 1.5, how: 'warm' },
  ];
  for (const offset of [0.6, 4.5, 8]) {
    troubles.push(drawShortLoss(random, start + offset + random.between(0, 1.5)));
  }
  return troubles;
}

/** A loss right after a repair or a replacement, and one more after that. */
function drawSecondLoss(random: Random, site: Site, start: number): Trouble[] {
  const count = site.toleratedMachines;
  const backSeconds = random.between(0.3, 2);
  const first = random.choice(['replaced', 'planned', 'wiped', 'removed'] as const);
  const second = start + backSeconds + drawSecondLossGap(random);
  const third = second + backSeconds + drawSecondLossGap(random);
  return [
    ...drawChanges(random, start - 0.5, third + 2 - start, 0.9),
    drawFirstLoss(random, site, start, first, backSeconds),
    { at: second, kind: 'after_ack_wipe', count, for_s: backSeconds, how: drawTiming(random) },
    { at: third, kind: 'after_ack_kill', count, for_s: backSeconds, how: drawTiming(random) },
    { at: third + random.between(2, 6), kind: 'herd_kill', on: 'core', how: 'power' },
  ];
}

function drawSecondLossGap(random: Random): number {
  return random.between(SECOND_LOSS_SECONDS.least, SECOND_LOSS_SECONDS.most);
}

function drawTiming(random: Random): string {
  return random.choice(['', 'timed']);
}

function drawFirstLoss(
  random: Random,
  site: Site,
  at: number,
  shape: 'replaced' | 'planned' | 'wiped' | 'removed',
  backSeconds: number,
): Trouble {
  const aim = random.choice(['', 'leader', 'reader', 'oldest']);
  if (shape === 'wiped') {
    return { at, kind: 'after_ack_wipe', count: site.toleratedMachines, for_s: backSeconds };
  }
  if (shape === 'removed') {
    return { at, kind: 'roll_term', on: 'core', share: 0.4, x: 1, gap_s: 4, how: 'remove' };
  }
  const planned = shape === 'planned' ? 'planned' : '';
  return { at, kind: 'replace_core', x: backSeconds, how: joinWords([aim, planned]) };
}

/** A member is away during a storm of changes; when it is back, another one is lost. */
function drawReturnAfterChanges(random: Random, site: Site, start: number): Trouble[] {
  const backSeconds = start + STORM_SECONDS + 1;
  const away: Trouble = random.chance(0.5)
    ? { at: start, kind: 'node_kill', on: 'core', count: 1, for_s: STORM_SECONDS, how: 'power' }
    : { at: start, kind: 'core_cut', count: 1, for_s: STORM_SECONDS, how: 'one_way' };
  return [
    away,
    { at: start + 0.3, kind: 'config_storm', for_s: STORM_SECONDS, gap_s: STORM_GAP_SECONDS },
    { at: start + 3, kind: 'big_config', count: random.whole(50, 200) },
    { at: backSeconds, kind: 'config_race', count: 3, gap_s: 0.4 },
    drawShortLoss(random, backSeconds + drawSecondLossGap(random)),
    { at: backSeconds + 8, kind: 'after_ack_wipe', count: site.toleratedMachines, for_s: 1 },
  ];
}

/** Spoiled, lost and reset answers, around proxies that stand still and runners whose addresses are used again. */
function drawAnswers(random: Random, site: Site, start: number): Trouble[] {
  const service = random.choice([site.modelService, ...site.plainServices]);
  const spoilt = { service, share: random.between(0.4, 0.8), x: random.between(0.03, 0.08) };
  const reuse = random.choice(['', 'drain', 'dark']);
  const model = site.modelService;
  return [
    { at: start, kind: 'garble', ...spoilt, for_s: 8, how: random.choice(['extra late', 'extra']) },
    {
      at: start + 0.5,
      kind: 'answer_lost',
      ...spoilt,
      for_s: 8,
      how: random.choice(['', 'reset']),
    },
    { at: start + 1, kind: 'node_freeze', share: 0.25, for_s: random.between(1.5, 5) },
    { at: start + 2, kind: 'replace_with_reuse', service: model, share: 0.12, how: reuse },
    { at: start + 3, kind: 'srv_cut', share: 0.2, x: 0.4, for_s: 4, how: 'fronts reset' },
    { at: start + 4, kind: 'give_up', share: 0.3, x: random.between(20, 300), for_s: 5 },
    { at: start + 6, kind: 'reset_conns', share: 0.3, x: 0.8 },
    { at: start + 7, kind: 'roll_term', share: 0.2, x: 1, gap_s: 1, how: 'busy' },
  ];
}

/** Changes of the configuration, one each `gapSeconds`. */
function drawChanges(
  random: Random,
  start: number,
  forSeconds: number,
  gapSeconds: number,
): Trouble[] {
  const changes: Trouble[] = [];
  for (let at = start; at < start + forSeconds; at += gapSeconds) {
    changes.push({ at, kind: 'config_change', how: random.choice(CHANGE_SHAPES) });
  }
  return changes;
}

/** A short loss of one control machine, mostly the one that acted last. */
function drawShortLoss(random: Random, at: number): Trouble {
  const how = joinWords([random.choice(AIMS), ...drawExtras(random)]);
  const for_s = random.between(0.4, 5);
  const shape = random.whole(0, 4);
  if (shape === 0) return { at, kind: 'core_cut', count: 1, for_s, how };
  if (shape === 1) return { at, kind: 'node_freeze', on: 'core', count: 1, for_s, how };
  if (shape === 2) return { at, kind: 'node_kill', on: 'core', count: 1, for_s, how };
  if (shape === 3) return { at, kind: 'after_ack_kill', count: 1, for_s, how: 'kill timed' };
  return { at, kind: 'disk_stall', count: 1, for_s, how: random.choice(AIMS) };
}
