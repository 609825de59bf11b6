import { SeededRandom } from '../../rehearsal/seeded-random.js';
import { simulate, type Outcome } from '../control-simulation.js';
import type { Fault, FaultKind } from '../faults.js';
import { OPTION_DEFAULTS, type SimulationOptions } from '../options.js';
import { drawSchedule } from '../schedule-draw.js';
import { UNMODIFIED_CORES } from '../core-factory.js';
import { MUTANTS, type Mutant, type MutantName } from './mutants.js';

/** Runs a mutant, seed after seed, until it breaks one of its rules. */

/** The result of testing a mutant; printed as JSON under these names. */
export interface MutantResult {
  readonly mutant: MutantName;
  /** The first seed that caught it; undefined if none did. */
  readonly caughtBy: number | undefined;
  /** The rule that was broken under that seed, and the details of the violation; empty if no seed caught it. */
  readonly rule: string;
  readonly text: string;
  /** Rules that were broken as well, under this seed or earlier ones, but don't indicate the fault. */
  readonly otherRules: readonly string[];
  readonly seeds: number;
  /** Seeds up to `caughtBy` under which the sound build broke a rule. */
  readonly unsoundSeeds: readonly number[];
}

const FAULT_PERIOD_MS = 16_000;
const OPERATOR_INTERVAL_MS = 200;
const FAULT_COUNT = 8;
/** Schedules are drawn until they contain enough faults of the wanted kinds, at most this often. */
const MAX_DRAWS = 500;
const DRAW_SEED_STEP = 100_000;

/** Returns the options of a mutant's run: short, with a high rate of orders. */
export function mutantOptions(seed: number): SimulationOptions {
  const nodes = seed % 3 === 0 ? 5 : 3;
  return {
    ...OPTION_DEFAULTS,
    seed,
    nodes,
    troubleMs: FAULT_PERIOD_MS,
    paceMs: OPERATOR_INTERVAL_MS,
    lossLimit: 'any',
  };
}

/** Returns the mutant's own fault schedule, or a drawn one with only its kinds of faults. */
export function mutantSchedule(options: SimulationOptions, faults: Mutant['faults']): Fault[] {
  if (typeof faults === 'function') return faults(new SeededRandom(options.seed));
  return drawnSchedule(options, faults);
}

function drawnSchedule(options: SimulationOptions, kinds: readonly FaultKind[]): Fault[] {
  const faults: Fault[] = [];
  for (let draw = 0; draw < MAX_DRAWS && faults.length < FAULT_COUNT; draw += 1) {
    const seed = options.seed + draw * DRAW_SEED_STEP;
    for (const fault of drawSchedule({ ...options, seed })) {
      if (kinds.includes(fault.kind) && faults.length < FAULT_COUNT) faults.push(fault);
    }
  }
  return faults;
}

/** Runs a mutant under a seed. */
export function runMutant(name: MutantName, seed: number): Outcome {
  const mutant: Mutant = MUTANTS[name];
  const options = mutantOptions(seed);
  const schedule = mutantSchedule(options, mutant.faults);
  const restore = mutant.patch?.();
  try {
    return simulate(options, schedule, undefined, mutant.build?.() ?? UNMODIFIED_CORES);
  } finally {
    restore?.();
  }
}

/** Runs the sound build under the same seed and schedule as a mutant. */
export function runSoundBuild(name: MutantName, seed: number): Outcome {
  const mutant: Mutant = MUTANTS[name];
  const options = mutantOptions(seed);
  return simulate(options, mutantSchedule(options, mutant.faults));
}

/** Runs a mutant under up to `seeds` seeds until one catches it, and the sound build under the same seeds. */
export function testMutant(name: MutantName, seeds: number): MutantResult {
  const mutant: Mutant = MUTANTS[name];
  const indicatingRules = new Set<string>(mutant.rules);
  const otherRules = new Set<string>();
  const unsoundSeeds: number[] = [];
  for (let seed = 1; seed <= seeds; seed += 1) {
    if (runSoundBuild(name, seed).violations.length > 0) unsoundSeeds.push(seed);
    const { violations } = runMutant(name, seed);
    let found: { readonly rule: string; readonly text: string } | undefined;
    for (const violation of violations) {
      if (indicatingRules.has(violation.rule)) found ??= violation;
      else otherRules.add(violation.rule);
    }
    if (!found) continue;
    const { rule, text } = found;
    return {
      mutant: name,
      caughtBy: seed,
      rule,
      text,
      otherRules: [...otherRules],
      seeds,
      unsoundSeeds,
    };
  }
  return {
    mutant: name,
    caughtBy: undefined,
    rule: '',
    text: '',
    otherRules: [...otherRules],
    seeds,
    unsoundSeeds,
  };
}
