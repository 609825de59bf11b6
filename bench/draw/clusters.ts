/** Clusters of related events: drawn sequences, each of which tests one known weakness of control planes. */
import type { DayEvent } from './day.js';
import { MACHINE_SELECTORS, drawSideActions, joinWords } from './kinds/machine-selectors.js';
import type { Random } from './random.js';
import type { Site } from './site.js';

/** Draws the events of one cluster; the first ones come at about `start`, in seconds from the start of the day. */
export type DrawCluster = (random: Random, site: Site, start: number) => DayEvent[];

const LONG_CUT_SECONDS = { min: 17, max: 23 } as const;
/**
 * Time from the recovery after one loss to the next loss; the range covers the time before, at and after the end of the
 * catch-up.
 */
const SECOND_LOSS_GAP_SECONDS = { min: 0.2, max: 6 } as const;
/** Length of the storm of changes, and of the absence of the member that misses it. */
const STORM_SECONDS = 9;
const STORM_GAP_SECONDS = 0.1;
const LONG_CUT_MODES = ['', 'one_way', 'reset', 'refuse', 'both', 'seeds', 'lure', 'near'] as const;
const CONFIG_CHANGES = ['route', 'weights', 'timeout', 'idle'] as const;

/** The functions that draw the clusters, by cluster name. */
export const CLUSTERS: Readonly<Record<string, DrawCluster>> = {
  long_cut: drawLongCut,
  two_operators: drawTwoOperators,
  second_loss: drawSecondLoss,
  return_after_changes: drawReturnAfterChanges,
  answers: drawAnswerFaults,
};

/**
 * A control machine is cut off for about twenty seconds while operators keep sending changes; after the cut, one
 * control machine fails briefly.
 */
function drawLongCut(random: Random, site: Site, start: number): DayEvent[] {
  const cutSeconds = random.between(LONG_CUT_SECONDS.min, LONG_CUT_SECONDS.max);
  const selector = random.choice(MACHINE_SELECTORS);
  const how = joinWords([selector, random.choice(LONG_CUT_MODES), ...drawSideActions(random)]);
  const ackLossStart = start + random.between(6, 14);
  return [
    { at: start, kind: 'core_cut', count: 1, for_s: cutSeconds, how },
    ...drawConfigChanges(random, start + 1, cutSeconds + 4, 2.2),
    { at: start + 4, kind: 'config_race', count: 4, gap_s: random.between(0.3, 1.2) },
    { at: start + 9, kind: 'evacuate', zone: random.choice(site.zones), for_s: 4, how: 'warm' },
    { at: start + 11, kind: 'bad_config', count: 2, gap_s: 0.7, how: 'stale_match' },
    { at: ackLossStart, kind: 'ack_lost', x: 0.7, for_s: 8 },
    { at: start + cutSeconds - 1, kind: 'config_race', count: 3, gap_s: 0.6 },
    drawShortLoss(random, start + cutSeconds + random.between(0.1, 5)),
  ];
}

/** Two concurrent operators lose responses while control machines, often the leader, fail briefly. */
function drawTwoOperators(random: Random, site: Site, start: number): DayEvent[] {
  const events: DayEvent[] = [
    { at: start, kind: 'ack_lost', x: random.between(0.5, 0.95), for_s: 12 },
    { at: start + 0.2, kind: 'config_race', count: 5, gap_s: random.between(0.2, 0.8) },
    { at: start + 6, kind: 'config_race', count: 5, gap_s: random.between(0.2, 0.8) },
    { at: start + 3, kind: 'bad_config', count: 3, gap_s: 0.5, how: 'same_version' },
    { at: start + 4, kind: 'evacuate', zone: random.choice(site.zones), for_s: 1.5, how: 'warm' },
  ];
  for (const offset of [0.6, 4.5, 8]) {
    events.push(drawShortLoss(random, start + offset + random.between(0, 1.5)));
  }
  return events;
}

/** A second loss right after a repair or replacement, followed by a third one. */
function drawSecondLoss(random: Random, site: Site, start: number): DayEvent[] {
  const count = site.toleratedMachines;
  const downSeconds = random.between(0.3, 2);
  const first = random.choice(['replaced', 'planned', 'wiped', 'removed'] as const);
  const second = start + downSeconds + drawSecondLossGap(random);
  const third = second + downSeconds + drawSecondLossGap(random);
  return [
    ...drawConfigChanges(random, start - 0.5, third + 2 - start, 0.9),
    drawFirstLoss(random, site, start, first, downSeconds),
    { at: second, kind: 'after_ack_wipe', count, for_s: downSeconds, how: drawTimingMode(random) },
    { at: third, kind: 'after_ack_kill', count, for_s: downSeconds, how: drawTimingMode(random) },
    { at: third + random.between(2, 6), kind: 'herd_kill', on: 'core', how: 'power' },
  ];
}

function drawSecondLossGap(random: Random): number {
  return random.between(SECOND_LOSS_GAP_SECONDS.min, SECOND_LOSS_GAP_SECONDS.max);
}

function drawTimingMode(random: Random): string {
  return random.choice(['', 'timed']);
}

function drawFirstLoss(
  random: Random,
  site: Site,
  at: number,
  lossMode: 'replaced' | 'planned' | 'wiped' | 'removed',
  downSeconds: number,
): DayEvent {
  const selector = random.choice(['', 'leader', 'reader', 'oldest']);
  if (lossMode === 'wiped') {
    return { at, kind: 'after_ack_wipe', count: site.toleratedMachines, for_s: downSeconds };
  }
  if (lossMode === 'removed') {
    return { at, kind: 'roll_term', on: 'core', share: 0.4, x: 1, gap_s: 4, how: 'remove' };
  }
  const planned = lossMode === 'planned' ? 'planned' : '';
  return { at, kind: 'replace_core', x: downSeconds, how: joinWords([selector, planned]) };
}

/** A member misses a storm of changes; after it returns, another member is lost. */
function drawReturnAfterChanges(random: Random, site: Site, start: number): DayEvent[] {
  const returnAt = start + STORM_SECONDS + 1;
  const absence: DayEvent = random.chance(0.5)
    ? { at: start, kind: 'node_kill', on: 'core', count: 1, for_s: STORM_SECONDS, how: 'power' }
    : { at: start, kind: 'core_cut', count: 1, for_s: STORM_SECONDS, how: 'one_way' };
  return [
    absence,
    { at: start + 0.3, kind: 'config_storm', for_s: STORM_SECONDS, gap_s: STORM_GAP_SECONDS },
    { at: start + 3, kind: 'big_config', count: random.integer(50, 200) },
    { at: returnAt, kind: 'config_race', count: 3, gap_s: 0.4 },
    drawShortLoss(random, returnAt + drawSecondLossGap(random)),
    { at: returnAt + 8, kind: 'after_ack_wipe', count: site.toleratedMachines, for_s: 1 },
  ];
}

/** Corrupted, lost and reset responses while proxies are frozen and the addresses of runners are reused. */
function drawAnswerFaults(random: Random, site: Site, start: number): DayEvent[] {
  const service = random.choice([site.modelService, ...site.plainServices]);
  const answerFault = { service, share: random.between(0.4, 0.8), x: random.between(0.03, 0.08) };
  const reuseMode = random.choice(['', 'drain', 'dark']);
  const model = site.modelService;
  return [
    {
      at: start,
      kind: 'garble',
      ...answerFault,
      for_s: 8,
      how: random.choice(['extra late', 'extra']),
    },
    {
      at: start + 0.5,
      kind: 'answer_lost',
      ...answerFault,
      for_s: 8,
      how: random.choice(['', 'reset']),
    },
    { at: start + 1, kind: 'node_freeze', share: 0.25, for_s: random.between(1.5, 5) },
    { at: start + 2, kind: 'replace_with_reuse', service: model, share: 0.12, how: reuseMode },
    { at: start + 3, kind: 'srv_cut', share: 0.2, x: 0.4, for_s: 4, how: 'fronts reset' },
    { at: start + 4, kind: 'give_up', share: 0.3, x: random.between(20, 300), for_s: 5 },
    { at: start + 6, kind: 'reset_conns', share: 0.3, x: 0.8 },
    { at: start + 7, kind: 'roll_term', share: 0.2, x: 1, gap_s: 1, how: 'busy' },
  ];
}

/** Draws configuration changes, one every `gapSeconds`. */
function drawConfigChanges(
  random: Random,
  start: number,
  durationSeconds: number,
  gapSeconds: number,
): DayEvent[] {
  const changes: DayEvent[] = [];
  for (let at = start; at < start + durationSeconds; at += gapSeconds) {
    changes.push({ at, kind: 'config_change', how: random.choice(CONFIG_CHANGES) });
  }
  return changes;
}

/** Draws a short failure of one control machine, often the leader. */
function drawShortLoss(random: Random, at: number): DayEvent {
  const how = joinWords([random.choice(MACHINE_SELECTORS), ...drawSideActions(random)]);
  const for_s = random.between(0.4, 5);
  const shape = random.integer(0, 4);
  if (shape === 0) return { at, kind: 'core_cut', count: 1, for_s, how };
  if (shape === 1) return { at, kind: 'node_freeze', on: 'core', count: 1, for_s, how };
  if (shape === 2) return { at, kind: 'node_kill', on: 'core', count: 1, for_s, how };
  if (shape === 3) return { at, kind: 'after_ack_kill', count: 1, for_s, how: 'kill timed' };
  return { at, kind: 'disk_stall', count: 1, for_s, how: random.choice(MACHINE_SELECTORS) };
}
