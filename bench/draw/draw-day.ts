/** Draws one day of overlapping troubles for a site. */
import { CLUSTERS, type DrawCluster } from './clusters.js';
import { CLOSING_KINDS, type Closing, type Day, type Part, type Trouble } from './day.js';
import type { KindOfTrouble, Target } from './kind-of-trouble.js';
import { KINDS } from './kinds.js';
import { Random } from './random.js';
import type { Site } from './site.js';

/** What a drawn day depends on. */
export interface DrawOptions {
  readonly seed: number;
  /** From 0 (few, short troubles) to 1 (many, long ones). */
  readonly intensity: number;
  readonly lengthSeconds: number;
  /** The kinds that may come, as the bench lists them for the site. */
  readonly kinds: readonly string[];
  /** How many clusters of troubles that belong together a day has besides, by its standard length. */
  readonly clusters: number;
  /** The chance that a closing fault ends the day. */
  readonly closingProbability: number;
}

const FIRST_TROUBLE_SECONDS = 1.5;
/** Nothing new begins this close to the end, so that the last trouble is felt. */
const QUIET_END_SECONDS = 4;
/** Troubles at the lowest and at the highest intensity, for a day of the standard length. */
const CONTROL_TROUBLES = { least: 4, most: 12 } as const;
const OTHER_TROUBLES = { least: 1, most: 4 } as const;
const STANDARD_LENGTH_SECONDS = 34;
/** How often a trouble of the control side follows the one before within a moment. */
const CLUSTER_PROBABILITY = 0.4;
const CLUSTER_GAP_SECONDS = { least: 0.05, most: 2.5 } as const;
const OTHER_TARGETS: readonly Target[] = ['proxies', 'runners', 'traffic'];
const CLOSING_SHAPES = ['', '', 'aimed', 'timed', 'taken', 'oldest'] as const;

interface Candidate {
  readonly name: string;
  readonly kind: KindOfTrouble;
}

/** The day of this seed; the same options always give the same day. */
export function drawDay(site: Site, options: DrawOptions): Day {
  const random = new Random(options.seed);
  const parts: Record<Part, Trouble[]> = { plan: [], faults: [] };
  drawTroubles(random, site, options, ['control'], CONTROL_TROUBLES, parts);
  drawTroubles(random, site, options, OTHER_TARGETS, OTHER_TROUBLES, parts);
  drawClusters(random, site, options, parts);
  return {
    name: `drawn-${options.seed}`,
    seed: options.seed,
    lengthSeconds: options.lengthSeconds,
    closing: random.chance(options.closingProbability) ? drawClosing(random) : null,
    plan: parts.plan,
    faults: parts.faults,
  };
}

function drawTroubles(
  random: Random,
  site: Site,
  options: DrawOptions,
  targets: readonly Target[],
  bounds: { readonly least: number; readonly most: number },
  parts: Record<Part, Trouble[]>,
): void {
  const candidates = listCandidates(options.kinds, targets);
  if (candidates.length === 0) return;
  const wanted = bounds.least + (bounds.most - bounds.least) * options.intensity;
  const count = Math.round((wanted * options.lengthSeconds) / STANDARD_LENGTH_SECONDS);
  let at = FIRST_TROUBLE_SECONDS;
  for (let index = 0; index < count; index += 1) {
    at = drawTime(random, options.lengthSeconds, at);
    const { name, kind } = chooseByWeight(random, candidates);
    parts[kind.part].push({ at, kind: name, ...kind.draw(random, site, options.intensity) });
  }
}

/** Draws clusters, each in a stretch of the day of its own; what the site does not list is left out. */
function drawClusters(
  random: Random,
  site: Site,
  options: DrawOptions,
  parts: Record<Part, Trouble[]>,
): void {
  const count = Math.round((options.clusters * options.lengthSeconds) / STANDARD_LENGTH_SECONDS);
  const last = options.lengthSeconds - QUIET_END_SECONDS;
  const names = Object.keys(CLUSTERS);
  const stretch = (last - FIRST_TROUBLE_SECONDS) / Math.max(1, count);
  for (let index = 0; index < count; index += 1) {
    const begin = FIRST_TROUBLE_SECONDS + index * stretch;
    // The first half of the stretch leaves the cluster room before the next one begins.
    const start = random.between(begin, begin + stretch / 2);
    const drawCluster = clusterOf(random.choice(names));
    for (const trouble of drawCluster(random, site, start)) {
      for (const part of spellOutStorm(trouble, options)) addClustered(part, options, last, parts);
    }
  }
}

function clusterOf(name: string): DrawCluster {
  const drawCluster = CLUSTERS[name];
  if (drawCluster === undefined) throw new RangeError(`no cluster ${name}`);
  return drawCluster;
}

/** Where the site lists no storms, a storm is written as single changes, which it does list. */
function spellOutStorm(trouble: Trouble, options: DrawOptions): Trouble[] {
  const { at, kind, for_s = 0, gap_s = 1 } = trouble;
  if (kind !== 'config_storm' || options.kinds.includes(kind)) return [trouble];
  const changes: Trouble[] = [];
  for (let after = 0; after < for_s; after += gap_s) {
    changes.push({ at: at + after, kind: 'config_change', how: 'timeout' });
  }
  return changes;
}

function addClustered(
  trouble: Trouble,
  options: DrawOptions,
  last: number,
  parts: Record<Part, Trouble[]>,
): void {
  const kind = KINDS[trouble.kind];
  if (kind === undefined || !options.kinds.includes(trouble.kind) || trouble.at > last) return;
  const at = Math.max(FIRST_TROUBLE_SECONDS, Math.round(trouble.at * 1000) / 1000);
  parts[kind.part].push({ ...trouble, at });
}

function drawTime(random: Random, lengthSeconds: number, before: number): number {
  const last = lengthSeconds - QUIET_END_SECONDS;
  if (random.chance(CLUSTER_PROBABILITY)) {
    const gap = random.between(CLUSTER_GAP_SECONDS.least, CLUSTER_GAP_SECONDS.most);
    return Math.min(last, Math.round((before + gap) * 100) / 100);
  }
  return random.between(FIRST_TROUBLE_SECONDS, last);
}

function listCandidates(names: readonly string[], targets: readonly Target[]): Candidate[] {
  const candidates: Candidate[] = [];
  for (const name of names) {
    const kind = KINDS[name];
    if (kind !== undefined && targets.includes(kind.target)) candidates.push({ name, kind });
  }
  return candidates;
}

function chooseByWeight(random: Random, candidates: readonly Candidate[]): Candidate {
  let total = 0;
  for (const candidate of candidates) total += candidate.kind.weight;
  let mark = random.fraction() * total;
  for (const candidate of candidates) {
    mark -= candidate.kind.weight;
    if (mark < 0) return candidate;
  }
  return random.choice(candidates);
}

function drawClosing(random: Random): Closing {
  const kind = random.choice(CLOSING_KINDS);
  const how = random.choice(CLOSING_SHAPES);
  const down_s = random.between(0.5, 1.6);
  return how === '' ? { kind, down_s } : { kind, down_s, how };
}
