import { expect, test } from 'vitest';
import { Quorum } from '../../common/quorum.js';
import { nodeId } from '../../common/ids.js';
import { mutantOptions, mutantSchedule, runMutant, runSoundBuild } from './mutant-runs.js';
import { MUTANTS, type Mutant, type MutantName } from './mutants.js';
import { halfIsMajority } from './patched-methods.js';

/** Mutants that a few seeds catch; `haretrack simulation mutants` runs all of them. */
const QUICK = [
  'refusal-by-uncommitted',
  'identity-forgotten',
  'identities-in-memory',
  'reads-at-followers',
  'vote-unsynced',
  'deposed-write-taken',
  'leads-by-own-copies',
  'wiped-disk-counts',
  'repaired-without-copies',
  'repair-skips-one',
  'swap-without-joint-set',
  'joint-by-new-set-alone',
  'no-gap-between-holders',
  'grants-forgotten',
] as const satisfies readonly MutantName[];
const QUICK_SEEDS = 4;

function rulesBroken(name: MutantName, seed: number): Set<string> {
  const rules = new Set<string>();
  for (const { rule } of runMutant(name, seed).violations) rules.add(rule);
  return rules;
}

function isCaught(name: MutantName): boolean {
  const mutant: Mutant = MUTANTS[name];
  for (let seed = 1; seed <= QUICK_SEEDS; seed += 1) {
    expect(runSoundBuild(name, seed).violations).toEqual([]);
    const broken = rulesBroken(name, seed);
    if (mutant.rules.some(broken.has, broken)) return true;
  }
  return false;
}
test.each(QUICK)('a build with %s is caught, and the sound build is clean', (name: MutantName) => {
  expect(isCaught(name)).toBe(true);
});
test('a schedule has only faults of the wanted kinds, and the same ones for the same seed', () => {
  for (const { faults } of Object.values<Mutant>(MUTANTS)) {
    const options = mutantOptions(1);
    const schedule = mutantSchedule(options, faults);
    expect(schedule.length).toBeGreaterThan(0);
    expect(mutantSchedule(options, faults)).toEqual(schedule);
    if (typeof faults === 'function') continue;
    for (const { kind } of schedule) expect(faults).toContain(kind);
  }
});
test('a patched method is restored', () => {
  const quorum = new Quorum([nodeId('a'), nodeId('b'), nodeId('c')]);
  const restore = halfIsMajority();
  expect(quorum.isMajority(new Set([nodeId('a')]))).toBe(true);
  restore();
  expect(quorum.isMajority(new Set([nodeId('a')]))).toBe(false);
});
