/** Tests of the day generator: determinism, valid TOML, and kinds that are missing from the table. */
import { expect, test } from 'vitest';
import fc from 'fast-check';
import { parse } from 'smol-toml';
import { formatDay, type Day, type DayEvent } from './day.js';
import { CLUSTERS } from './clusters.js';
import { drawDay, type DrawOptions } from './draw-day.js';
import { KINDS } from './kinds.js';
import { findUnknownKinds, parseListedKinds } from './listed-kinds.js';
import { Random } from './random.js';
import { parseSite } from './site.js';
import { listWorstDays } from './worst-days.js';

const SITE_FILE = `
name = "example"
length_s = 34.0
zones = [{ name = "north", region = "r" }, { name = "south", region = "r" }]
machines = [
  { class = "front", zone = "north", count = 4 },
  { class = "core", zone = "north", count = 2 },
  { class = "core", zone = "south", count = 3 },
]
services = [{ name = "lookup" }, { name = "engine", model = "llm" }]
classes = [{ name = "chat" }, { name = "page" }]
[tolerate]
machines = 2
[[day]]
name = "quiet-1"
small = { shrink = 5.3, weights = { per_s = 2.5 } }
`;

const LISTED = `Each entry has 'at' and 'kind'.
closing = { kind = kill_all }

burst: x times the traffic
core_cut: count (1) counted machines are cut off
config_race: count (1) pairs

these may come too:
disk_full: count (1) disks take no more bytes
earthquake: everything shakes
`;

const ALL_KINDS = Object.keys(KINDS);
const SITE = parseSite(SITE_FILE);

test('the parsed list of kinds includes the optional ones', () => {
  const names = ['burst', 'core_cut', 'config_race', 'disk_full', 'earthquake'];
  expect(parseListedKinds(LISTED)).toEqual(names);
});
test('kinds that are missing from the table are reported', () => {
  expect(findUnknownKinds(parseListedKinds(LISTED))).toEqual(['earthquake']);
});
test('a site file is parsed', () => {
  expect(SITE).toEqual({
    name: 'example',
    lengthSeconds: 34,
    zones: ['north', 'south'],
    modelService: 'engine',
    plainServices: ['lookup'],
    requestClasses: ['chat', 'page'],
    toleratedMachines: 2,
    smallVariantLine: 'small = { shrink = 5.3, weights = { per_s = 2.5 } }',
  });
});
test('the same seed gives the same day, another seed a different one', () => {
  const first = drawDay(SITE, makeOptions({ seed: 5 }));
  expect(drawDay(SITE, makeOptions({ seed: 5 }))).toEqual(first);
  expect(drawDay(SITE, makeOptions({ seed: 6 })).faults).not.toEqual(first.faults);
});
test('a drawn day is valid TOML, with events within its length and of listed kinds only', () => {
  const seeds = fc.integer({ min: 0, max: 1_000_000 });
  const intensities = fc.double({ min: 0, max: 1, noNaN: true });
  const kinds = fc.subarray(ALL_KINDS, { minLength: 1 });
  fc.assert(fc.property(seeds, intensities, kinds, checkDrawnDay));
});
test('each cluster has only known kinds and contains its characteristic kind', () => {
  const characteristicKinds: Readonly<Record<string, string>> = {
    long_cut: 'core_cut',
    two_operators: 'config_race',
    second_loss: 'after_ack_wipe',
    return_after_changes: 'config_storm',
    answers: 'garble',
  };
  expect(Object.keys(characteristicKinds)).toEqual(Object.keys(CLUSTERS));
  for (const [name, drawCluster] of Object.entries(CLUSTERS)) {
    for (let seed = 0; seed < 50; seed += 1) {
      const kinds = drawCluster(new Random(seed), SITE, 3).map(kindOf);
      expect(kinds).toContain(characteristicKinds[name]);
      expect(findUnknownKinds(kinds)).toEqual([]);
    }
  }
});
test('the events of clusters stay within the length of the day and are of listed kinds only', () => {
  const kinds = ['core_cut', 'config_race', 'after_ack_wipe'];
  const options = makeOptions({ lengthSeconds: 100, clusters: 2, kinds });
  const unclustered = drawDay(SITE, { ...options, clusters: 0 });
  const clustered = drawDay(SITE, options);
  expect(listEvents(clustered).length).toBeGreaterThan(listEvents(unclustered).length);
  for (let seed = 0; seed < 50; seed += 1) {
    for (const event of listEvents(drawDay(SITE, { ...options, seed }))) {
      expect(kinds).toContain(event.kind);
      expect(event.at).toBeGreaterThanOrEqual(0);
      expect(event.at).toBeLessThan(100);
    }
  }
});
test('a storm is expanded into single changes where the site does not list storms', () => {
  const options = makeOptions({ seed: 3, lengthSeconds: 100, clusters: 4 });
  const days = [0, 1, 2, 3, 4].map(drawWithoutStorms);
  expect(Math.max(...days.map(countChanges))).toBeGreaterThan(80);
  expect(drawDay(SITE, options).plan.map(kindOf)).toContain('config_storm');
});
test('no event removes every server of a service permanently', () => {
  const kinds = ['srv_crash', 'replace_with_reuse'];
  for (let seed = 0; seed < 300; seed += 1) {
    const day = drawDay(SITE, makeOptions({ seed, intensity: 1, lengthSeconds: 100, kinds }));
    for (const event of day.faults) {
      const words = (event.how ?? '').split(' ');
      const isPermanent = event.kind === 'replace_with_reuse' || words.includes('gone');
      expect(isPermanent && words.includes('all')).toBe(false);
    }
  }
});
test('a closing fault never occurs with probability 0 and always with probability 1', () => {
  for (let seed = 0; seed < 50; seed += 1) {
    expect(drawDay(SITE, makeOptions({ seed, closingProbability: 0 })).closing).toBeNull();
    expect(drawDay(SITE, makeOptions({ seed, closingProbability: 1 })).closing).not.toBeNull();
  }
});
test('400 drawn days contain every kind', () => {
  const seen = new Set<string>();
  for (let seed = 0; seed < 400; seed += 1) {
    const day = drawDay(SITE, makeOptions({ seed, intensity: 1 }));
    for (const event of listEvents(day)) seen.add(event.kind);
  }
  expect([...seen].sort()).toEqual([...ALL_KINDS].sort());
});
test('the worst days are valid TOML with known kinds and unique names', () => {
  const days = listWorstDays(SITE);
  const names = new Set<string>();
  for (const day of days) {
    names.add(day.name);
    expect(parse(formatDay(day, null))['day']).toHaveLength(1);
    for (const event of listEvents(day)) {
      expect(ALL_KINDS).toContain(event.kind);
      expect(event.at).toBeLessThan(day.lengthSeconds);
    }
  }
  expect(names.size).toBe(days.length);
});
test('the long days contain more than 300 changes each', () => {
  const days = listWorstDays(SITE).filter(isLong);
  expect(days.length).toBeGreaterThan(0);
  for (const day of days) expect(countStormChanges(day)).toBeGreaterThan(300);
});
test('random numbers stay within their bounds', () => {
  fc.assert(fc.property(fc.integer(), fc.integer({ min: 0, max: 9 }), checkBounds));
});

function makeOptions(changes: Partial<DrawOptions>): DrawOptions {
  return {
    seed: 1,
    intensity: 0.5,
    lengthSeconds: 34,
    kinds: ALL_KINDS,
    clusters: 0,
    closingProbability: 0.5,
    ...changes,
  };
}

function listEvents(day: Day): DayEvent[] {
  return [...day.plan, ...day.faults];
}

function checkDrawnDay(seed: number, intensity: number, kinds: string[]): void {
  const day = drawDay(SITE, makeOptions({ seed, intensity, kinds }));
  expect(parse(formatDay(day, SITE.smallVariantLine))['day']).toHaveLength(1);
  for (const event of listEvents(day)) {
    expect(kinds).toContain(event.kind);
    expect(event.at).toBeGreaterThanOrEqual(0);
    expect(event.at).toBeLessThan(day.lengthSeconds);
    expect(event.count ?? 1).toBeGreaterThanOrEqual(1);
  }
}

function kindOf(event: DayEvent): string {
  return event.kind;
}

function drawWithoutStorms(seed: number): Day {
  const kinds = ['config_change', 'core_cut'];
  return drawDay(SITE, makeOptions({ seed, lengthSeconds: 100, clusters: 4, kinds }));
}

function countChanges(day: Day): number {
  return day.plan.filter(isChange).length;
}

function isChange(event: DayEvent): boolean {
  return event.kind === 'config_change';
}

function isLong(day: Day): boolean {
  return day.lengthSeconds >= 100;
}

function countStormChanges(day: Day): number {
  let changes = 0;
  for (const event of day.plan) {
    if (event.kind === 'config_storm') changes += (event.for_s ?? 0) / (event.gap_s ?? 1);
  }
  return changes;
}

function checkBounds(seed: number, low: number): void {
  const random = new Random(seed);
  const whole = random.integer(low, low + 3);
  expect(whole).toBeGreaterThanOrEqual(low);
  expect(whole).toBeLessThanOrEqual(low + 3);
  const fraction = random.fraction();
  expect(fraction).toBeGreaterThanOrEqual(0);
  expect(fraction).toBeLessThan(1);
}
