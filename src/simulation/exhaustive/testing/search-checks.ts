import type { Protocol } from '../protocol.js';
import { explore, SEARCHES, type Extent, type ModelName, type Search } from '../searches.js';

/** Far more than any of these searches needs, so that a verdict never depends on the memory or speed of the machine. */
const MAX_STATES = 1_000_000;

/**
 * Lets the test runner's worker handle messages of its parent process. A search is one long synchronous call; without a
 * pause before each, the worker could not respond for the duration of all searches of a file.
 */
async function yieldToRunner(): Promise<void> {
  await new Promise(setImmediate);
}

/** All short searches of one model, which run with the tests. */
export function shortSearchesOf(model: ModelName): readonly Search[] {
  const found: Search[] = [];
  for (const search of SEARCHES) if (search.model === model && !search.isLong) found.push(search);
  return found;
}

/** Runs a search to its usual extent, and returns its problems: none if it is complete and finds no violation. */
export async function findProblems(search: Search): Promise<string[]> {
  await yieldToRunner();
  const { usual } = search;
  const { counterexample, states, depth, isExhausted } = search.run(usual, MAX_STATES);
  const problems: string[] = [];
  if (counterexample) {
    problems.push(`broken: ${counterexample.invariant}`, ...counterexample.steps);
  }
  if (states >= MAX_STATES) problems.push(`ended at ${states} states`);
  // A search that ended early would prove nothing.
  const isComplete = usual.kind === 'every-order' ? depth === usual.depth : isExhausted;
  if (!isComplete) problems.push(`ended at depth ${depth}`);
  return problems;
}

/** Returns the invariant that a search of a protocol finds broken, or `none`. */
export async function violatedInvariant<Command, Event, Facts, Ghost>(
  protocol: Protocol<Command, Event, Facts, Ghost>,
  extent: Extent,
): Promise<string> {
  await yieldToRunner();
  return explore(protocol, extent, MAX_STATES).counterexample?.invariant ?? 'none';
}

/** The extent of a search of every order of steps. */
export function everyOrder(depth: number): Extent {
  return { kind: 'every-order', depth };
}

/** The extent of a search of long runs with faults. */
export function withFaults(count: number): Extent {
  return { kind: 'faults', faults: count };
}
