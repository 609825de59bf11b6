/** Batches of seeded runs, for tests: a sound build under troubles, and builds with one thing wrong. */
import { setImmediate } from 'node:timers/promises';
import { WRONGS, type MutationKind } from './mutation.js';
import { Simulation } from './simulation.js';
import type { TroubleKind } from './trouble-kinds.js';

/** Virtual time of troubles for a sound build and for a mutated one, ms. */
const STORM_MS = 25_000;
const MUTATION_STORM_MS = 15_000;
const PROXIES = 3;
/** The rarest of the mutants is caught on about one seed of five: by chance alone 32 of them miss it once in a thousand times. */
const MOST_SEEDS = 32;

/** Runs seeds one after the other and names each that broke something. */
export async function storm(
  from: number,
  count: number,
  troubles: readonly TroubleKind[],
): Promise<string[]> {
  const broken: string[] = [];
  for (let seed = from; seed < from + count; seed += 1) {
    const result = new Simulation({ seed, edges: PROXIES, stormMs: STORM_MS, troubles }).run();
    for (const violation of result.violations) broken.push(`seed ${seed}: ${violation}`);
    // A seed takes a second of real work: the test runner must be heard in between.
    await setImmediate();
  }
  return broken;
}

/**
 * Runs a build with one thing wrong until its rule is seen to break, and the sound build on the same seeds.
 * Names what did not come out so: a fault that no seed shows, or a sound build that breaks something.
 */
export async function bite(wrong: MutationKind, most = MOST_SEEDS): Promise<string[]> {
  const { rule, troubles } = WRONGS[wrong];
  for (let seed = 1; seed <= most; seed += 1) {
    const sound = new Simulation({
      seed,
      edges: PROXIES,
      stormMs: MUTATION_STORM_MS,
      troubles,
    }).run();
    // Before each word of what came out, too: checks that follow one another at once would else hold the loop for minutes.
    await setImmediate();
    if (sound.violations.length > 0) return [`sound at seed ${seed}: ${sound.violations[0]}`];
    const { violations } = new Simulation({
      seed,
      edges: PROXIES,
      stormMs: MUTATION_STORM_MS,
      troubles,
      wrong,
    }).run();
    await setImmediate();
    if (violations.some((violation) => violation.startsWith(`${rule}:`))) return [];
  }
  return [`${wrong}: no ${rule} in ${most} seeds`];
}
