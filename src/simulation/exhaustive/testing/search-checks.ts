import type { Protocol } from '../protocol.js';
import { explore, SEARCHES, type Extent, type ModelName, type Search } from '../searches.js';

/** No search here comes near it: a verdict never depends on the memory or speed of the machine. */
const MOST_STATES = 1_000_000;

/**
 * A search is one long synchronous call. Before each the test runner gets a turn, else its worker could not answer its
 * parent process for the time of all the searches of a file together.
 */
async function yieldToRunner(): Promise<void> {
  await new Promise(setImmediate);
}

/** All searches of one model that are short enough to run with the tests. */
export function searchesOf(model: ModelName): readonly Search[] {
  const found: Search[] = [];
  for (const search of SEARCHES) if (search.model === model && !search.isLong) found.push(search);
  return found;
}

/** Runs a search to its usual bounds and says what speaks against it: nothing if it is complete and finds nothing. */
export async function shortcomingsOf(search: Search): Promise<string[]> {
  await yieldToRunner();
  const { usual } = search;
  const { counterexample, states, depth, isExhausted } = search.run(usual, MOST_STATES);
  const shortcomings: string[] = [];
  if (counterexample) {
    shortcomings.push(`broken: ${counterexample.invariant}`, ...counterexample.steps);
  }
  if (states >= MOST_STATES) shortcomings.push(`ended at ${states} states`);
  // A search that ended early by itself would show nothing.
  const isComplete = usual.kind === 'every-order' ? depth === usual.depth : isExhausted;
  if (!isComplete) shortcomings.push(`ended at depth ${depth}`);
  return shortcomings;
}

/** Says which invariant a search over a protocol with a mistake breaks. */
export async function brokenBy<Command, Event, Facts, Ghost>(
  protocol: Protocol<Command, Event, Facts, Ghost>,
  extent: Extent,
): Promise<string> {
  await yieldToRunner();
  return explore(protocol, extent, MOST_STATES).counterexample?.invariant ?? 'none';
}

export function orders(depth: number): Extent {
  return { kind: 'every-order', depth };
}

export function faults(most: number): Extent {
  return { kind: 'faults', faults: most };
}
