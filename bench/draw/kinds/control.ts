/** Kinds of trouble that strike the control side: its machines, their links, disks and clocks. */
import type { TroubleFields } from '../day.js';
import type { KindTable } from '../kind-of-trouble.js';
import type { Random } from '../random.js';
import type { Site } from '../site.js';
import { AIMS, drawAim, drawCoreCount, drawExtras, joinWords } from './aims.js';

const CUT_SHAPES = ['', '', 'one_way', 'one_way', 'seeds', 'both', 'near', 'all', 'lure'] as const;
/** The machine whose disk has lasted longest, beside the usual aims. */
const CUT_AIMS = [...AIMS, 'oldest'] as const;
const CUT_SIGNS = ['', '', 'reset', 'refuse'] as const;
const ACK_KILL_SHAPES = ['', 'kill', 'timed', 'kill timed', 'taken', 'taken gone'] as const;
const ACK_WIPE_SHAPES = ['', '', 'timed', 'oldest', 'timed oldest'] as const;
const HERD_SHAPES = ['', 'power', 'taken', 'taken all'] as const;

/** Troubles of the control side, by the names of day files. */
export const CONTROL_KINDS: KindTable = {
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
};

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
  return { on: 'core', how: random.choice(HERD_SHAPES) };
}

function drawCoreCut(random: Random, site: Site, strength: number): TroubleFields {
  const how = joinWords([
    random.choice(CUT_AIMS),
    random.choice(CUT_SHAPES),
    random.choice(CUT_SIGNS),
    ...drawExtras(random),
  ]);
  const for_s = random.between(1.5, 6 + 14 * strength);
  return { count: drawCoreCount(random, site), for_s, how };
}

function drawZoneTrouble(random: Random, site: Site): TroubleFields {
  return { zone: random.choice(site.zones), for_s: random.between(2, 6) };
}

function drawReplaceCore(random: Random): TroubleFields {
  const how = joinWords([
    random.choice(['', 'leader', 'leader', 'reader', 'seed', 'oldest']),
    random.choice(['', 'planned', 'planned']),
    ...random.subset(['meet', 'race'], 0.2),
  ]);
  return { x: random.between(0.3, 3), how };
}

function drawNothing(): TroubleFields {
  return {};
}

function drawAfterAckKill(random: Random, site: Site): TroubleFields {
  const how = random.choice(ACK_KILL_SHAPES);
  return { count: drawCoreCount(random, site), for_s: random.between(0.5, 4), how };
}

function drawAfterAckWipe(random: Random, site: Site): TroubleFields {
  const how = random.choice(ACK_WIPE_SHAPES);
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
