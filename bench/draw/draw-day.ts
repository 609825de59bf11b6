/** Draws one day of overlapping events for a site. */
import { CLUSTERS, type DrawCluster } from './clusters.js';
import {
  CLOSING_KINDS,
  type ClosingFault,
  type Day,
  type DaySection,
  type DayEvent,
} from './day.js';
import type { EventKind, Target } from './event-kind.js';
import { KINDS } from './kinds.js';
import { Random } from './random.js';
import type { Site } from './site.js';

/** Parameters of a drawn day. */
export interface DrawOptions {
  readonly seed: number;
  /** From 0 (few, short events) to 1 (many, long ones). */
  readonly intensity: number;
  readonly lengthSeconds: number;
  /** The allowed kinds of event, as the bench lists them for the site. */
  readonly kinds: readonly string[];
  /** The number of additional clusters of related events per standard day length (34 s). */
  readonly clusters: number;
  /** The probability that the day ends with a closing fault. */
  readonly closingProbability: number;
}

const FIRST_EVENT_SECONDS = 1.5;
/** No event begins this close to the end, so that the last one still has an effect. */
const QUIET_END_SECONDS = 4;
/** Number of events at the lowest and the highest intensity, for a day of the standard length. */
const CONTROL_EVENT_COUNTS = { min: 4, max: 12 } as const;
const OTHER_EVENT_COUNTS = { min: 1, max: 4 } as const;
const STANDARD_LENGTH_SECONDS = 34;
/** Probability that an event follows the previous one closely (within `FOLLOW_UP_GAP_SECONDS`). */
const FOLLOW_UP_PROBABILITY = 0.4;
const FOLLOW_UP_GAP_SECONDS = { min: 0.05, max: 2.5 } as const;
const OTHER_TARGETS: readonly Target[] = ['proxies', 'runners', 'traffic'];
const CLOSING_MODES = ['', '', 'aimed', 'timed', 'taken', 'oldest'] as const;

interface Candidate {
  readonly name: string;
  readonly kind: EventKind;
}

/** Draws the day of this seed; the same site and options always give the same day. */
export function drawDay(site: Site, options: DrawOptions): Day {
  const random = new Random(options.seed);
  const sections: Record<DaySection, DayEvent[]> = { plan: [], faults: [] };
  drawEvents(random, site, options, ['control'], CONTROL_EVENT_COUNTS, sections);
  drawEvents(random, site, options, OTHER_TARGETS, OTHER_EVENT_COUNTS, sections);
  drawClusters(random, site, options, sections);
  return {
    name: `drawn-${options.seed}`,
    seed: options.seed,
    lengthSeconds: options.lengthSeconds,
    closing: random.chance(options.closingProbability) ? drawClosingFault(random) : null,
    plan: sections.plan,
    faults: sections.faults,
  };
}

function drawEvents(
  random: Random,
  site: Site,
  options: DrawOptions,
  targets: readonly Target[],
  bounds: { readonly min: number; readonly max: number },
  sections: Record<DaySection, DayEvent[]>,
): void {
  const candidates = listCandidates(options.kinds, targets);
  if (candidates.length === 0) return;
  const standardCount = bounds.min + (bounds.max - bounds.min) * options.intensity;
  const count = Math.round((standardCount * options.lengthSeconds) / STANDARD_LENGTH_SECONDS);
  let at = FIRST_EVENT_SECONDS;
  for (let index = 0; index < count; index += 1) {
    at = drawTime(random, options.lengthSeconds, at);
    const { name, kind } = chooseByWeight(random, candidates);
    sections[kind.section].push({ at, kind: name, ...kind.draw(random, site, options.intensity) });
  }
}

/** Draws clusters, each starting in its own time slot; events of kinds that the site does not list are left out. */
function drawClusters(
  random: Random,
  site: Site,
  options: DrawOptions,
  sections: Record<DaySection, DayEvent[]>,
): void {
  const count = Math.round((options.clusters * options.lengthSeconds) / STANDARD_LENGTH_SECONDS);
  const lastStart = options.lengthSeconds - QUIET_END_SECONDS;
  const names = Object.keys(CLUSTERS);
  const slotSeconds = (lastStart - FIRST_EVENT_SECONDS) / Math.max(1, count);
  for (let index = 0; index < count; index += 1) {
    const slotStart = FIRST_EVENT_SECONDS + index * slotSeconds;
    // Starting in the first half of the slot leaves the cluster time before the next one begins.
    const start = random.between(slotStart, slotStart + slotSeconds / 2);
    const drawCluster = findCluster(random.choice(names));
    for (const event of drawCluster(random, site, start)) {
      for (const expanded of expandStorm(event, options))
        addClusterEvent(expanded, options, lastStart, sections);
    }
  }
}

function findCluster(name: string): DrawCluster {
  const drawCluster = CLUSTERS[name];
  if (drawCluster === undefined) throw new RangeError(`no cluster ${name}`);
  return drawCluster;
}

/** Expands a storm into single changes where the site does not list storms. */
function expandStorm(event: DayEvent, options: DrawOptions): DayEvent[] {
  const { at, kind, for_s = 0, gap_s = 1 } = event;
  if (kind !== 'config_storm' || options.kinds.includes(kind)) return [event];
  const changes: DayEvent[] = [];
  for (let offset = 0; offset < for_s; offset += gap_s) {
    changes.push({ at: at + offset, kind: 'config_change', how: 'timeout' });
  }
  return changes;
}

function addClusterEvent(
  event: DayEvent,
  options: DrawOptions,
  lastStart: number,
  sections: Record<DaySection, DayEvent[]>,
): void {
  const kind = KINDS[event.kind];
  if (kind === undefined || !options.kinds.includes(event.kind) || event.at > lastStart) return;
  const at = Math.max(FIRST_EVENT_SECONDS, Math.round(event.at * 1000) / 1000);
  sections[kind.section].push({ ...event, at });
}

function drawTime(random: Random, lengthSeconds: number, previousStart: number): number {
  const lastStart = lengthSeconds - QUIET_END_SECONDS;
  if (random.chance(FOLLOW_UP_PROBABILITY)) {
    const gap = random.between(FOLLOW_UP_GAP_SECONDS.min, FOLLOW_UP_GAP_SECONDS.max);
    return Math.min(lastStart, Math.round((previousStart + gap) * 100) / 100);
  }
  return random.between(FIRST_EVENT_SECONDS, lastStart);
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
  let totalWeight = 0;
  for (const candidate of candidates) totalWeight += candidate.kind.weight;
  let remainingWeight = random.fraction() * totalWeight;
  for (const candidate of candidates) {
    remainingWeight -= candidate.kind.weight;
    if (remainingWeight < 0) return candidate;
  }
  return random.choice(candidates);
}

function drawClosingFault(random: Random): ClosingFault {
  const kind = random.choice(CLOSING_KINDS);
  const how = random.choice(CLOSING_MODES);
  const down_s = random.between(0.5, 1.6);
  return how === '' ? { kind, down_s } : { kind, down_s, how };
}
