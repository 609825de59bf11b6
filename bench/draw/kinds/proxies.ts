/** Kinds of event that affect proxies and their agents. */
import type { EventFields } from '../day.js';
import type { EventKindTable } from '../event-kind.js';
import type { Random } from '../random.js';
import type { Site } from '../site.js';
import { MACHINE_SELECTORS } from './machine-selectors.js';

/** Kinds of event of proxies by their names in day files. */
export const PROXY_KINDS: EventKindTable = {
  node_cut: { target: 'proxies', section: 'faults', weight: 3, draw: drawNodeCut },
  roll_term: { target: 'proxies', section: 'plan', weight: 3, draw: drawRollTerm },
  reset_conns: { target: 'proxies', section: 'faults', weight: 3, draw: drawResetConnections },
  hup: { target: 'proxies', section: 'plan', weight: 2, draw: drawHangUp },
  add_nodes: { target: 'proxies', section: 'plan', weight: 1, draw: drawAddNodes },
  lossy: { target: 'proxies', section: 'faults', weight: 2, draw: drawLossy },
};

function drawNodeCut(random: Random): EventFields {
  const how = random.choice(['', '', 'servers', 'all']);
  return { share: random.between(0.08, 0.25), for_s: random.between(2, 8), how };
}

function drawRollTerm(random: Random): EventFields {
  const gap_s = random.between(0.8, 1.5);
  const shape = random.integer(0, 3);
  if (shape === 0) return { how: 'busy', gap_s, share: random.between(0.2, 0.6) };
  if (shape === 1) return { how: 'remove', gap_s, share: random.between(0.1, 0.25) };
  const coreShape = random.choice(['', '', 'busy', 'remove']);
  if (shape === 2) return { on: 'core', x: 1, gap_s: random.between(1.5, 5), how: coreShape };
  return { share: random.between(0.2, 0.5), x: 1, gap_s };
}

function drawResetConnections(random: Random): EventFields {
  const reset = { x: random.between(0.3, 1) };
  if (random.chance(0.5))
    return { on: 'core', count: 1, ...reset, how: random.choice(MACHINE_SELECTORS) };
  return { share: random.between(0.1, 0.4), ...reset };
}

function drawHangUp(random: Random): EventFields {
  return { share: random.between(0.2, 0.7), gap_s: random.between(0.2, 3) };
}

function drawAddNodes(random: Random): EventFields {
  return { share: random.between(0.3, 1) };
}

function drawLossy(random: Random, site: Site): EventFields {
  const zone = random.choice(site.zones);
  return { zone, x: random.between(0.01, 0.04), for_s: random.between(3, 7) };
}
