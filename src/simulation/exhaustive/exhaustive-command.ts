import { Command, Flags } from '@oclif/core';
import { MODEL_NAMES, SEARCHES, type Extent, type Search, type SearchReport } from './searches.js';

/** Default bound on the states of a search, which is partial if it reaches it; each state takes some hundred bytes. */
const MAX_STATES = 3_000_000;

function reportLine(report: SearchReport): string {
  const { model: name, depth, states, transitions, nodeStates, millis, isExhausted } = report;
  const end = isExhausted ? ', exhausted' : '';
  const counts = `${states} states, ${transitions} transitions, ${nodeStates} node states`;
  return `${name}: depth ${depth}${end}, ${counts}, ${(millis / 1000).toFixed(1)} s`;
}

/** Explores the small cores of the control nodes state by state; for manual runs that go further than the tests. */
export class ExhaustiveCommand extends Command {
  static override description =
    'explore the control nodes state by state: every order of steps, or every choice of a few faults';
  static override flags = {
    model: Flags.option({
      options: MODEL_NAMES,
      description: 'run only the searches of one model',
    })(),
    long: Flags.boolean({
      default: false,
      description: 'run the long searches, which take minutes, instead of the short ones',
    }),
    only: Flags.integer({
      description: 'run only the search with this number in the list, from 1',
    }),
    depth: Flags.integer({ description: 'maximum number of steps, for searches of every order' }),
    faults: Flags.integer({ description: 'maximum number of faults, for searches of long runs' }),
    states: Flags.integer({
      default: MAX_STATES,
      description: 'maximum number of states of a search',
    }),
    json: Flags.boolean({ default: false, description: 'print one JSON object per search' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(ExhaustiveCommand);
    let isBroken = false;
    for (const [index, search] of SEARCHES.filter(
      (search) => search.isLong === flags.long,
    ).entries()) {
      if (flags.model !== undefined && search.model !== flags.model) continue;
      if (flags.only !== undefined && flags.only !== index + 1) continue;
      if (!flags.json) this.log(`${index + 1}. ${search.model}: ${search.title}`);
      const extent = extentOf(search, flags.depth, flags.faults);
      const report = search.run(extent, flags.states, this.#progress.bind(this, flags.json));
      this.log(flags.json ? JSON.stringify(report) : reportLine(report));
      const { counterexample } = report;
      if (!counterexample) continue;
      isBroken = true;
      if (flags.json) continue;
      this.log(`  broken: ${counterexample.invariant}`);
      for (const [index, step] of counterexample.steps.entries()) {
        this.log(`  ${index + 1}. ${step}`);
      }
    }
    this.exit(isBroken ? 1 : 0);
  }

  #progress(isJson: boolean, report: SearchReport): void {
    if (!isJson) this.logToStderr(reportLine(report));
  }
}

function extentOf(
  { usual }: Search,
  depth: number | undefined,
  faults: number | undefined,
): Extent {
  if (usual.kind === 'every-order') return { ...usual, depth: depth ?? usual.depth };
  return { ...usual, faults: faults ?? usual.faults };
}
