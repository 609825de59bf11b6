import { Seeded } from '../../rehearsal/seeded.js';
import { simulate, type Outcome } from '../control-simulation.js';
import type { Fault, FaultKind } from '../faults.js';
import { OPTION_DEFAULTS, type SimulationOptions } from '../options.js';
import { drawSchedule } from '../schedule-draw.js';
import { SOUND_BUILD } from '../core-build.js';
import { MUTANTS, type Mutant, type MutantName } from './mutants.js';

/** Runs of a mutant, seed after seed, until one of its rules is seen broken. */

export interface HuntResult {
  readonly mutant: MutantName;
  /** The first seed that caught it; nothing if none did. */
  readonly caughtBy: number | undefined;
  /** The rule that was broken there, and what was said of it. */
  readonly rule: string;
  readonly text: string;
  /** Rules broken by earlier seeds, or beside, that do not name the fault. */
  readonly otherRules: readonly string[];
  readonly seeds: number;
  /** Seeds up to that one on which the sound build broke a rule. */
  readonly unsoundSeeds: readonly number[];
}

const TROUBLE_MS = 16_000;
const PACE_MS = 200;
const FAULTS = 8;
/** Schedules are drawn until enough faults of the wanted kinds have come up. */
const MOST_DRAWS = 500;
const DRAW_STEP = 100_000;

/** The options of a hunt's run: short, with operators that send much. */
export function huntOptions(seed: number): SimulationOptions {
  const nodes = seed % 3 === 0 ? 5 : 3;
  return {
    ...OPTION_DEFAULTS,
    seed,
    nodes,
    troubleMs: TROUBLE_MS,
    paceMs: PACE_MS,
    lossLimit: 'any',
  };
}

/** The mutant's own schedule, or one of its kinds alone. */
export function huntSchedule(options: SimulationOptions, wanted: Mutant['faults']): Fault[] {
  if (typeof wanted === 'function') return wanted(new Seeded(options.seed));
  return drawnSchedule(options, wanted);
}

function drawnSchedule(options: SimulationOptions, kinds: readonly FaultKind[]): Fault[] {
  const faults: Fault[] = [];
  for (let draw = 0; draw < MOST_DRAWS && faults.length < FAULTS; draw += 1) {
    const seed = options.seed + draw * DRAW_STEP;
    for (const fault of drawSchedule({ ...options, seed })) {
      if (kinds.includes(fault.kind) && faults.length < FAULTS) faults.push(fault);
    }
  }
  return faults;
}

/** One run of a mutant. */
export function runMutant(name: MutantName, seed: number): Outcome {
  const mutant: Mutant = MUTANTS[name];
  const options = huntOptions(seed);
  const schedule = huntSchedule(options, mutant.faults);
  const restore = mutant.exchange?.();
  try {
    return simulate(options, schedule, undefined, mutant.build?.() ?? SOUND_BUILD);
  } finally {
    restore?.();
  }
}

/** The sound build on the same seed and schedule. */
export function runSound(name: MutantName, seed: number): Outcome {
  const mutant: Mutant = MUTANTS[name];
  const options = huntOptions(seed);
  return simulate(options, huntSchedule(options, mutant.faults));
}

/** Looks for the first of so many seeds that catches the mutant, and runs the sound build on the same ones. */
export function hunt(name: MutantName, seeds: number): HuntResult {
  const mutant: Mutant = MUTANTS[name];
  const wanted = new Set<string>(mutant.rules);
  const otherRules = new Set<string>();
  const unsoundSeeds: number[] = [];
  for (let seed = 1; seed <= seeds; seed += 1) {
    if (runSound(name, seed).violations.length > 0) unsoundSeeds.push(seed);
    const { violations } = runMutant(name, seed);
    let found: { readonly rule: string; readonly text: string } | undefined;
    for (const violation of violations) {
      if (wanted.has(violation.rule)) found ??= violation;
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
