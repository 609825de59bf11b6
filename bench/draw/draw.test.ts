/** Tests of the generator of days: determinism, sound TOML, and kinds that the table lacks. */
import { expect, test } from 'vitest';
import fc from 'fast-check';
import { parse } from 'smol-toml';
import { writeDay, type Day, type Trouble } from './day.js';
import { CLUSTERS } from './clusters.js';
import { drawDay, type DrawOptions } from './draw-day.js';
import { KINDS } from './kinds.js';
import { findUnknownKinds, readListedKinds } from './listed-kinds.js';
import { Random } from './random.js';
import { readSite } from './site.js';
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
const SITE = readSite(SITE_FILE);

test('the list of kinds is read with those that may come too', () => {
  const names = ['burst', 'core_cut', 'config_race', 'disk_full', 'earthquake'];
  expect(readListedKinds(LISTED)).toEqual(names);
});
test('kinds that the table lacks are named', () => {
  expect(findUnknownKinds(readListedKinds(LISTED))).toEqual(['earthquake']);
});
test('a site is read from its file', () => {
  expect(SITE).toEqual({
    name: 'example',
    lengthSeconds: 34,
    zones: ['north', 'south'],
    modelService: 'engine',
    plainServices: ['lookup'],
    requestKinds: ['chat', 'page'],
    toleratedMachines: 2,
    smallTwin: 'small = { shrink = 5.3, weights = { per_s = 2.5 } }',
  });
});
test('a day is the same for the same seed, and another for another', () => {
  const first = drawDay(SITE, makeOptions({ seed: 5 }));
  expect(drawDay(SITE, makeOptions({ seed: 5 }))).toEqual(first);
  expect(drawDay(SITE, makeOptions({ seed: 6 })).faults).not.toEqual(first.faults);
});
test('a drawn day is sound TOML, within its length, of listed kinds only', () => {
  const seeds = fc.integer({ min: 0, max: 1_000_000 });
  const intensities = fc.double({ min: 0, max: 1, noNaN: true });
  const kinds = fc.subarray(ALL_KINDS, { minLength: 1 });
  fc.assert(fc.property(seeds, intensities, kinds, checkDrawnDay));
});
test('clusters are of known kinds, and hold what they are named for', () => {
  const marks: Readonly<Record<string, string>> = {
    long_cut: 'core_cut',
    two_operators: 'config_race',
    second_loss: 'after_ack_wipe',
    return_after_changes: 'config_storm',
    answers: 'garble',
  };
  expect(Object.keys(marks)).toEqual(Object.keys(CLUSTERS));
  for (const [name, drawCluster] of Object.entries(CLUSTERS)) {
    for (let seed = 0; seed < 50; seed += 1) {
      const kinds = drawCluster(new Random(seed), SITE, 3).map(kindOf);
      expect(kinds).toContain(marks[name]);
      expect(findUnknownKinds(kinds)).toEqual([]);
    }
  }
});
test('a day with clusters holds them within its length, and of listed kinds only', () => {
  const kinds = ['core_cut', 'config_race', 'after_ack_wipe'];
  const options = makeOptions({ lengthSeconds: 100, clusters: 2, kinds });
  const plain = drawDay(SITE, { ...options, clusters: 0 });
  const clustered = drawDay(SITE, options);
  expect(listTroubles(clustered).length).toBeGreaterThan(listTroubles(plain).length);
  for (let seed = 0; seed < 50; seed += 1) {
    for (const trouble of listTroubles(drawDay(SITE, { ...options, seed }))) {
      expect(kinds).toContain(trouble.kind);
      expect(trouble.at).toBeGreaterThanOrEqual(0);
      expect(trouble.at).toBeLessThan(100);
    }
  }
});
test('a storm is written as changes where the site lists no storms', () => {
  const options = makeOptions({ seed: 3, lengthSeconds: 100, clusters: 4 });
  const days = [0, 1, 2, 3, 4].map(drawWithoutStorms);
  expect(Math.max(...days.map(countChanges))).toBeGreaterThan(80);
  expect(drawDay(SITE, options).plan.map(kindOf)).toContain('config_storm');
});
test('no trouble takes every server of a service for good', () => {
  const kinds = ['srv_crash', 'replace_with_reuse'];
  for (let seed = 0; seed < 300; seed += 1) {
    const day = drawDay(SITE, makeOptions({ seed, intensity: 1, lengthSeconds: 100, kinds }));
    for (const trouble of day.faults) {
      const words = (trouble.how ?? '').split(' ');
      const isLasting = trouble.kind === 'replace_with_reuse' || words.includes('gone');
      expect(isLasting && words.includes('all')).toBe(false);
    }
  }
});
test('a closing fault comes as often as asked', () => {
  for (let seed = 0; seed < 50; seed += 1) {
    expect(drawDay(SITE, makeOptions({ seed, closingProbability: 0 })).closing).toBeNull();
    expect(drawDay(SITE, makeOptions({ seed, closingProbability: 1 })).closing).not.toBeNull();
  }
});
test('every kind comes within some hundred drawn days', () => {
  const seen = new Set<string>();
  for (let seed = 0; seed < 400; seed += 1) {
    const day = drawDay(SITE, makeOptions({ seed, intensity: 1 }));
    for (const trouble of listTroubles(day)) seen.add(trouble.kind);
  }
  expect([...seen].sort()).toEqual([...ALL_KINDS].sort());
});
test('the worst days are sound TOML of known kinds, each with its own name', () => {
  const days = listWorstDays(SITE);
  const names = new Set<string>();
  for (const day of days) {
    names.add(day.name);
    expect(parse(writeDay(day, null))['day']).toHaveLength(1);
    for (const trouble of listTroubles(day)) {
      expect(ALL_KINDS).toContain(trouble.kind);
      expect(trouble.at).toBeLessThan(day.lengthSeconds);
    }
  }
  expect(names.size).toBe(days.length);
});
test('the long days hold hundreds of changes', () => {
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

function listTroubles(day: Day): Trouble[] {
  return [...day.plan, ...day.faults];
}

function checkDrawnDay(seed: number, intensity: number, kinds: string[]): void {
  const day = drawDay(SITE, makeOptions({ seed, intensity, kinds }));
  expect(parse(writeDay(day, SITE.smallTwin))['day']).toHaveLength(1);
  for (const trouble of listTroubles(day)) {
    expect(kinds).toContain(trouble.kind);
    expect(trouble.at).toBeGreaterThanOrEqual(0);
    expect(trouble.at).toBeLessThan(day.lengthSeconds);
    expect(trouble.count ?? 1).toBeGreaterThanOrEqual(1);
  }
}

function kindOf(trouble: Trouble): string {
  return trouble.kind;
}

function drawWithoutStorms(seed: number): Day {
  const kinds = ['config_change', 'core_cut'];
  return drawDay(SITE, makeOptions({ seed, lengthSeconds: 100, clusters: 4, kinds }));
}

function countChanges(day: Day): number {
  return day.plan.filter(isChange).length;
}

function isChange(trouble: Trouble): boolean {
  return trouble.kind === 'config_change';
}

function isLong(day: Day): boolean {
  return day.lengthSeconds >= 100;
}

function countStormChanges(day: Day): number {
  let changes = 0;
  for (const trouble of day.plan) {
    if (trouble.kind === 'config_storm') changes += (trouble.for_s ?? 0) / (trouble.gap_s ?? 1);
  }
  return changes;
}

function checkBounds(seed: number, low: number): void {
  const random = new Random(seed);
  const whole = random.whole(low, low + 3);
  expect(whole).toBeGreaterThanOrEqual(low);
  expect(whole).toBeLessThanOrEqual(low + 3);
  const fraction = random.fraction();
  expect(fraction).toBeGreaterThanOrEqual(0);
  expect(fraction).toBeLessThan(1);
}
