/** Batches of seeded runs for tests: the correct build under faults, and builds with one defect each. */
import { setImmediate } from 'node:timers/promises';
import { MUTATIONS, type MutationKind } from './mutation.js';
import { Simulation } from './simulation.js';
import type { FaultKind } from './fault-kinds.js';

/** Virtual time during which faults are injected, for the correct build and for a mutated one, ms. */
const FAULT_PERIOD_MS = 25_000;
const MUTATION_FAULT_PERIOD_MS = 15_000;
const PROXIES = 3;
/** The rarest mutant is detected on about one seed in five, so 32 seeds miss it by chance about once in a thousand runs. */
const MAX_SEEDS = 32;

/** Runs `count` seeds in sequence, starting with `from`, and returns every violation with its seed. */
export async function runSeeds(
  from: number,
  count: number,
  kinds: readonly FaultKind[],
): Promise<string[]> {
  const violations: string[] = [];
  for (let seed = from; seed < from + count; seed += 1) {
    const result = new Simulation({
      seed,
      edges: PROXIES,
      faultPeriodMs: FAULT_PERIOD_MS,
      faultKinds: kinds,
    }).run();
    for (const violation of result.violations) violations.push(`seed ${seed}: ${violation}`);
    // A seed takes a second of CPU time: yield to the event loop so that the test runner stays responsive.
    await setImmediate();
  }
  return violations;
}

/**
 * Runs a mutated build on successive seeds until a violation of the expected rule is found, and the correct build on the
 * same seeds. Returns an empty list if both behave as expected; otherwise the violation of the correct build, or the
 * mutation that no seed detected.
 */
export async function checkMutation(
  mutationKind: MutationKind,
  maxSeeds = MAX_SEEDS,
): Promise<string[]> {
  const { rule, faultKinds: kinds } = MUTATIONS[mutationKind];
  for (let seed = 1; seed <= maxSeeds; seed += 1) {
    const correct = new Simulation({
      seed,
      edges: PROXIES,
      faultPeriodMs: MUTATION_FAULT_PERIOD_MS,
      faultKinds: kinds,
    }).run();
    // Yield before each return as well: consecutive checks would otherwise block the event loop for minutes.
    await setImmediate();
    if (correct.violations.length > 0)
      return [`correct build, seed ${seed}: ${correct.violations[0]}`];
    const { violations } = new Simulation({
      seed,
      edges: PROXIES,
      faultPeriodMs: MUTATION_FAULT_PERIOD_MS,
      faultKinds: kinds,
      mutation: mutationKind,
    }).run();
    await setImmediate();
    if (violations.some((violation) => violation.startsWith(`${rule}:`))) return [];
  }
  return [`${mutationKind}: no ${rule} violation in ${maxSeeds} seeds`];
}
