/** Kinds of event that affect the control plane: its machines and their links, disks and clocks. */
import type { EventFields } from '../day.js';
import type { EventKindTable } from '../event-kind.js';
import type { Random } from '../random.js';
import type { Site } from '../site.js';
import {
  MACHINE_SELECTORS,
  drawTargeting,
  drawMachineCount,
  drawSideActions,
  joinWords,
} from './machine-selectors.js';

const CUT_MODES = ['', '', 'one_way', 'one_way', 'seeds', 'both', 'near', 'all', 'lure'] as const;
/** The usual selectors, and the machine with the oldest disk. */
const CUT_SELECTORS = [...MACHINE_SELECTORS, 'oldest'] as const;
const CUT_CONNECTION_ERRORS = ['', '', 'reset', 'refuse'] as const;
const ACK_KILL_MODES = ['', 'kill', 'timed', 'kill timed', 'taken', 'taken gone'] as const;
const ACK_WIPE_MODES = ['', '', 'timed', 'oldest', 'timed oldest'] as const;
const HERD_KILL_MODES = ['', 'power', 'taken', 'taken all'] as const;

/** Kinds of event of the control plane by their names in day files. */
export const CONTROL_KINDS: EventKindTable = {
  node_kill: { target: 'control', section: 'faults', weight: 4, draw: drawNodeKill },
  node_freeze: { target: 'control', section: 'faults', weight: 4, draw: drawNodeFreeze },
  node_slow: { target: 'control', section: 'faults', weight: 2, draw: drawNodeSlow },
  herd_kill: { target: 'control', section: 'faults', weight: 2, draw: drawHerdKill },
  core_cut: { target: 'control', section: 'faults', weight: 6, draw: drawCoreCut },
  zone_cut: { target: 'control', section: 'faults', weight: 1, draw: drawZoneFault },
  zone_loss: { target: 'control', section: 'faults', weight: 1, draw: drawZoneFault },
  replace_core: { target: 'control', section: 'faults', weight: 4, draw: drawReplaceCore },
  seed_turnover: { target: 'control', section: 'plan', weight: 1, draw: drawNoFields },
  after_ack_kill: { target: 'control', section: 'faults', weight: 4, draw: drawAfterAckKill },
  after_ack_wipe: { target: 'control', section: 'faults', weight: 4, draw: drawAfterAckWipe },
  disk_stall: { target: 'control', section: 'faults', weight: 2, draw: drawDiskStall },
  disk_slow: { target: 'control', section: 'faults', weight: 2, draw: drawDiskSlow },
  disk_full: { target: 'control', section: 'faults', weight: 2, draw: drawDiskStall },
  clock_step: { target: 'control', section: 'faults', weight: 2, draw: drawClockStep },
};

function drawNodeKill(random: Random, site: Site, intensity: number): EventFields {
  if (random.chance(0.25)) return { share: random.between(0.05, 0.15 + intensity * 0.2), for_s: 2 };
  const how = joinWords([random.choice(['', 'power']), drawTargeting(random)]);
  const for_s = random.between(0.5, 3 + 3 * intensity);
  return { on: 'core', count: drawMachineCount(random, site), for_s, how };
}

function drawNodeFreeze(random: Random, site: Site, intensity: number): EventFields {
  const for_s = random.between(0.6, 3 + 5 * intensity);
  if (random.chance(0.3)) return { share: random.between(0.05, 0.2), for_s };
  return {
    on: 'core',
    count: drawMachineCount(random, site),
    for_s,
    how: drawTargeting(random),
  };
}

function drawNodeSlow(random: Random, site: Site, intensity: number): EventFields {
  const slow = { x: random.between(3, 5 + 5 * intensity), for_s: random.between(2, 8) };
  if (random.chance(0.4)) return { share: random.between(0.05, 0.15), ...slow };
  return {
    on: 'core',
    count: drawMachineCount(random, site),
    ...slow,
    how: random.choice(MACHINE_SELECTORS),
  };
}

function drawHerdKill(random: Random): EventFields {
  const how = random.choice(['', 'power']);
  if (random.chance(0.3)) return { share: random.between(0.3, 0.7), how };
  return { on: 'core', how: random.choice(HERD_KILL_MODES) };
}

function drawCoreCut(random: Random, site: Site, intensity: number): EventFields {
  const how = joinWords([
    random.choice(CUT_SELECTORS),
    random.choice(CUT_MODES),
    random.choice(CUT_CONNECTION_ERRORS),
    ...drawSideActions(random),
  ]);
  const for_s = random.between(1.5, 6 + 14 * intensity);
  return { count: drawMachineCount(random, site), for_s, how };
}

function drawZoneFault(random: Random, site: Site): EventFields {
  return { zone: random.choice(site.zones), for_s: random.between(2, 6) };
}

function drawReplaceCore(random: Random): EventFields {
  const how = joinWords([
    random.choice(['', 'leader', 'leader', 'reader', 'seed', 'oldest']),
    random.choice(['', 'planned', 'planned']),
    ...random.subset(['meet', 'race'], 0.2),
  ]);
  return { x: random.between(0.3, 3), how };
}

function drawNoFields(): EventFields {
  return {};
}

function drawAfterAckKill(random: Random, site: Site): EventFields {
  const how = random.choice(ACK_KILL_MODES);
  return { count: drawMachineCount(random, site), for_s: random.between(0.5, 4), how };
}

function drawAfterAckWipe(random: Random, site: Site): EventFields {
  const how = random.choice(ACK_WIPE_MODES);
  return { count: drawMachineCount(random, site), for_s: random.between(0.5, 4), how };
}

function drawDiskStall(random: Random, site: Site, intensity: number): EventFields {
  const for_s = random.between(1, 3 + 4 * intensity);
  return { count: drawMachineCount(random, site), for_s, how: random.choice(MACHINE_SELECTORS) };
}

function drawDiskSlow(random: Random, site: Site, intensity: number): EventFields {
  return { ...drawDiskStall(random, site, intensity), x: random.between(10, 60) };
}

function drawClockStep(random: Random): EventFields {
  const how = joinWords([random.choice(MACHINE_SELECTORS), random.choice(['', 'back', 'ahead'])]);
  const x = random.choice([800, 2400, 6000, 20000]);
  return { share: random.between(0.1, 0.5), x, for_s: random.between(2, 8), how };
}
