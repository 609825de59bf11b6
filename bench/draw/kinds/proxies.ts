/** Kinds of trouble that strike proxies and the agents beside them. */
import type { TroubleFields } from '../day.js';
import type { KindTable } from '../kind-of-trouble.js';
import type { Random } from '../random.js';
import type { Site } from '../site.js';
import { AIMS } from './aims.js';

/** Troubles of proxies, by the names of day files. */
export const PROXY_KINDS: KindTable = {
  node_cut: { target: 'proxies', part: 'faults', weight: 3, draw: drawNodeCut },
  roll_term: { target: 'proxies', part: 'plan', weight: 3, draw: drawRollTerm },
  reset_conns: { target: 'proxies', part: 'faults', weight: 3, draw: drawResetConnections },
  hup: { target: 'proxies', part: 'plan', weight: 2, draw: drawHangUp },
  add_nodes: { target: 'proxies', part: 'plan', weight: 1, draw: drawAddNodes },
  lossy: { target: 'proxies', part: 'faults', weight: 2, draw: drawLossy },
};

function drawNodeCut(random: Random): TroubleFields {
  const how = random.choice(['', '', 'servers', 'all']);
  return { share: random.between(0.08, 0.25), for_s: random.between(2, 8), how };
}

function drawRollTerm(random: Random): TroubleFields {
  const gap_s = random.between(0.8, 1.5);
  const shape = random.whole(0, 3);
  if (shape === 0) return { how: 'busy', gap_s, share: random.between(0.2, 0.6) };
  if (shape === 1) return { how: 'remove', gap_s, share: random.between(0.1, 0.25) };
  const coreShape = random.choice(['', '', 'busy', 'remove']);
  if (shape === 2) return { on: 'core', x: 1, gap_s: random.between(1.5, 5), how: coreShape };
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
