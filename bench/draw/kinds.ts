/** Every kind of trouble that the generator knows, with how one of it is drawn. */
import type { Part, TroubleFields } from './Day.js';
import type { Random } from './Random.js';
import type { Site } from './Site.js';

/** What a kind of trouble mostly strikes. */
export type Target = 'control' | 'proxies' | 'runners' | 'traffic';

/** One kind of trouble. */
export interface KindOfTrouble {
  readonly target: Target;
  readonly part: Part;
  /** How often it is drawn beside the others of its target. */
  readonly weight: number;
  /** The shape of one trouble of this kind; `strength` goes from 0 to 1. */
  readonly draw: (random: Random, site: Site, strength: number) => TroubleFields;
}

const AIMS = ['', 'leader', 'leader', 'leader', 'reader', 'seed'] as const;
const AIMED_EXTRAS = ['meet', 'race', 'hard', 'drain'] as const;
const EXTRA_PROBABILITY = 0.35;
const CUT_SHAPES = ['', '', 'one_way', 'one_way', 'seeds', 'both'] as const;
const CUT_SIGNS = ['', '', 'reset', 'refuse'] as const;
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
const GREY_SHAPES = ['errors', 'shed', 'busy', 'hang', 'reset', 'mute', 'slow'] as const;
const ACK_KILL_SHAPES = ['', 'kill', 'timed', 'taken'] as const;

/** All kinds, by the name that a day file gives them. */
export const KINDS: Readonly<Record<string, KindOfTrouble>> = {
  node_kill: { target: 'control', part: 'faults', weight: 4, draw: drawNodeKill },
  node_freeze: { target: 'control', part: 'faults', weight: 4, draw: drawNodeFreeze },
  node_slow: { target: 'control', part: 'faults', weight: 2, draw: drawNodeSlow },
  herd_kill: { target: 'control', part: 'faults', weight: 2, draw: drawHerdKill },
  core_cut: { target: 'control', part: 'faults', weight: 6, draw: drawCoreCut },
  zone_cut: { target: 'control', part: 'faults', weight: 1, draw: drawZoneTrouble },
  zone_loss: { target: 'control', part: 'faults', weight: 1, draw: drawZoneTrouble },
  replace_core: { target: 'control', part: 'faults', weight: 4, draw: drawReplaceCore },
  seed_turnover: { target: 'control', part: 'plan', weight: 1, draw: drawNothing },
  after_ack_kill: { target: 'control', part: 'faults', weight: 4, draw: drawAfterAckKill },
  after_ack_wipe: { target: 'control', part: 'faults', weight: 4, draw: drawAfterAckWipe },
  disk_stall: { target: 'control', part: 'faults', weight: 2, draw: drawDiskStall },
  disk_slow: { target: 'control', part: 'faults', weight: 2, draw: drawDiskSlow },
  disk_full: { target: 'control', part: 'faults', weight: 2, draw: drawDiskStall },
  clock_step: { target: 'control', part: 'faults', weight: 2, draw: drawClockStep },
  ack_lost: { target: 'control', part: 'faults', weight: 3, draw: drawAckLost },
  config_change: { target: 'control', part: 'plan', weight: 3, draw: drawConfigChange },
  config_storm: { target: 'control', part: 'plan', weight: 2, draw: drawConfigStorm },
  config_race: { target: 'control', part: 'plan', weight: 3, draw: drawConfigRace },
  bad_config: { target: 'control', part: 'plan', weight: 2, draw: drawBadConfig },
  big_config: { target: 'control', part: 'plan', weight: 1, draw: drawBigConfig },
  evacuate: { target: 'control', part: 'plan', weight: 3, draw: drawEvacuate },
  node_cut: { target: 'proxies', part: 'faults', weight: 3, draw: drawNodeCut },
  roll_term: { target: 'proxies', part: 'plan', weight: 3, draw: drawRollTerm },
  reset_conns: { target: 'proxies', part: 'faults', weight: 3, draw: drawResetConnections },
  hup: { target: 'proxies', part: 'plan', weight: 2, draw: drawHangUp },
  add_nodes: { target: 'proxies', part: 'plan', weight: 1, draw: drawAddNodes },
  lossy: { target: 'proxies', part: 'faults', weight: 2, draw: drawLossy },
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
  idle_race: { target: 'runners', part: 'faults', weight: 2, draw: drawIdleRace },
  burst: { target: 'traffic', part: 'faults', weight: 2, draw: drawBurst },
  retry_abuse: { target: 'traffic', part: 'faults', weight: 1, draw: drawRetryAbuse },
  model_shift: { target: 'traffic', part: 'plan', weight: 2, draw: drawModelShift },
};

function drawNothing(): TroubleFields {
  return {};
}

function joinWords(words: readonly string[]): string {
  return words.filter(isNotEmpty).join(' ');
}

function isNotEmpty(word: string): boolean {
  return word !== '';
}

/** Whom a trouble on the core strikes, and what is done to that machine besides. */
function drawAim(random: Random): string {
  return joinWords([random.choice(AIMS), ...random.subset(AIMED_EXTRAS, EXTRA_PROBABILITY)]);
}

function drawCoreCount(random: Random, site: Site): number {
  return random.whole(1, site.toleratedMachines);
}

function drawNodeKill(random: Random, site: Site, strength: number): TroubleFields {
  if (random.chance(0.25)) return { share: random.between(0.05, 0.15 + strength * 0.2), for_s: 2 };
  const how = joinWords([random.choice(['', 'power']), drawAim(random)]);
  const for_s = random.between(0.5, 3 + 3 * strength);
  return { on: 'core', count: drawCoreCount(random, site), for_s, how };
}

function drawNodeFreeze(random: Random, site: Site, strength: number): TroubleFields {
  const for_s = random.between(0.6, 3 + 5 * strength);
  if (random.chance(0.3)) return { share: random.between(0.05, 0.2), for_s };
  return { on: 'core', count: drawCoreCount(random, site), for_s, how: drawAim(random) };
}

function drawNodeSlow(random: Random, site: Site, strength: number): TroubleFields {
  const slow = { x: random.between(3, 5 + 5 * strength), for_s: random.between(2, 8) };
  if (random.chance(0.4)) return { share: random.between(0.05, 0.15), ...slow };
  return { on: 'core', count: drawCoreCount(random, site), ...slow, how: random.choice(AIMS) };
}

function drawHerdKill(random: Random): TroubleFields {
  const how = random.choice(['', 'power']);
  if (random.chance(0.3)) return { share: random.between(0.3, 0.7), how };
  return { on: 'core', how: random.choice(['', 'power', 'taken']) };
}

function drawCoreCut(random: Random, site: Site, strength: number): TroubleFields {
  const how = joinWords([
    random.choice(AIMS),
    random.choice(CUT_SHAPES),
    random.choice(CUT_SIGNS),
    ...random.subset(AIMED_EXTRAS, EXTRA_PROBABILITY),
  ]);
  const for_s = random.between(1.5, 6 + 14 * strength);
  return { count: drawCoreCount(random, site), for_s, how };
}

function drawZoneTrouble(random: Random, site: Site): TroubleFields {
  return { zone: random.choice(site.zones), for_s: random.between(2, 6) };
}

function drawReplaceCore(random: Random): TroubleFields {
  const how = joinWords([
    random.choice(['', 'leader', 'leader', 'reader', 'seed']),
    random.choice(['', 'planned', 'planned']),
    ...random.subset(['meet', 'race'], 0.2),
  ]);
  return { x: random.between(0.3, 3), how };
}

function drawAfterAckKill(random: Random, site: Site): TroubleFields {
  const how = random.choice(ACK_KILL_SHAPES);
  return { count: drawCoreCount(random, site), for_s: random.between(0.5, 4), how };
}

function drawAfterAckWipe(random: Random, site: Site): TroubleFields {
  const how = random.choice(['', '', 'timed']);
  return { count: drawCoreCount(random, site), for_s: random.between(0.5, 4), how };
}

function drawDiskStall(random: Random, site: Site, strength: number): TroubleFields {
  const for_s = random.between(1, 3 + 4 * strength);
  return { count: drawCoreCount(random, site), for_s, how: random.choice(AIMS) };
}

function drawDiskSlow(random: Random, site: Site, strength: number): TroubleFields {
  return { ...drawDiskStall(random, site, strength), x: random.between(10, 60) };
}

function drawClockStep(random: Random): TroubleFields {
  const how = joinWords([random.choice(AIMS), random.choice(['', 'back', 'ahead'])]);
  const x = random.choice([800, 2400, 6000, 20000]);
  return { share: random.between(0.1, 0.5), x, for_s: random.between(2, 8), how };
}

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
  return { zone: random.choice(site.zones), for_s: random.between(3, 9), how };
}

function drawNodeCut(random: Random): TroubleFields {
  const how = random.choice(['', '', 'servers']);
  return { share: random.between(0.08, 0.25), for_s: random.between(2, 8), how };
}

function drawRollTerm(random: Random): TroubleFields {
  const gap_s = random.between(0.8, 1.5);
  const shape = random.whole(0, 3);
  if (shape === 0) return { how: 'busy', gap_s, share: random.between(0.2, 0.6) };
  if (shape === 1) return { how: 'remove', gap_s, share: random.between(0.1, 0.25) };
  if (shape === 2) return { on: 'core', x: 1, gap_s: random.between(1.5, 5), how: '' };
  return { share: random.between(0.2, 0.5), x: 1, gap_s };
}

function drawResetConnections(random: Random): TroubleFields {
  const reset = { x: random.between(0.3, 1) };
  if (random.chance(0.5)) return { on: 'core', count: 1, ...reset, how: random.choice(AIMS) };
  return { share: random.between(0.1, 0.4), ...reset };
}

function drawHangUp(random: Random): TroubleFields {
  return { share: random.between(0.2, 0.7), gap_s: random.between(0.2, 3) };
}

function drawAddNodes(random: Random): TroubleFields {
  return { share: random.between(0.3, 1) };
}

function drawLossy(random: Random, site: Site): TroubleFields {
  const zone = random.choice(site.zones);
  return { zone, x: random.between(0.01, 0.04), for_s: random.between(3, 7) };
}

function drawServerCrash(random: Random, site: Site): TroubleFields {
  const how = random.choice(['', 'dark', 'gone']);
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
  return { service: site.modelService, share: random.between(0.08, 0.16), x, for_s: 5, how };
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
  const how = random.choice(['', 'extra', 'extra late']);
  const x = random.between(0.01, 0.05);
  const service = random.choice([site.modelService, ...site.plainServices]);
  return { service, share: random.between(0.3, 0.7), x, for_s: random.between(3, 7), how };
}

function drawReuse(random: Random, site: Site): TroubleFields {
  const how = random.choice(['', 'drain', 'dark']);
  return { service: site.modelService, share: random.between(0.08, 0.15), how };
}

function drawColdReturn(random: Random, site: Site): TroubleFields {
  const for_s = random.between(2, 5);
  return { zone: random.choice(site.zones), for_s, how: random.choice(['', 'dark']) };
}

function drawIdleRace(random: Random): TroubleFields {
  return { share: random.between(0.3, 0.7), x: random.between(100, 600), for_s: 6 };
}

function drawBurst(random: Random, site: Site): TroubleFields {
  const x = random.between(1.3, 2.2);
  return { class: random.choice(site.requestKinds), x, for_s: random.between(2, 4.5) };
}

function drawRetryAbuse(random: Random): TroubleFields {
  return { share: random.between(0.1, 0.3), x: random.whole(1, 3), for_s: random.between(3, 6) };
}

function drawModelShift(random: Random): TroubleFields {
  return { count: random.whole(1, 2), for_s: random.between(4.5, 6.5) };
}
