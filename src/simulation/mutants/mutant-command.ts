import { Command, Flags } from '@oclif/core';
import { testMutant, type MutantResult } from './mutant-runs.js';
import { MUTANT_NAMES, MUTANTS, type MutantName } from './mutants.js';

const DEFAULT_SEEDS = 20;

function isMutantName(text: string): text is MutantName {
  return MUTANT_NAMES.some((name) => text === name);
}

function rowOf({ mutant, caughtBy, rule, unsoundSeeds }: MutantResult): string {
  const sound = unsoundSeeds.length === 0 ? 'clean' : `broken on ${unsoundSeeds.join(', ')}`;
  const seed = caughtBy === undefined ? 'not caught' : String(caughtBy);
  return `| \`${mutant}\` | ${MUTANTS[mutant].what} | ${rule} | ${seed} | ${sound} |`;
}

/** Whether the checks caught the mutant and found no fault in the sound build on the same seeds. */
function isGood({ caughtBy, unsoundSeeds }: MutantResult): boolean {
  return caughtBy !== undefined && unsoundSeeds.length === 0;
}

/** Runs builds of the control plane with one fault each, and prints which seed and rule caught them. */
export class MutantCommand extends Command {
  static override description =
    'run builds of the control plane with one fault each; a rule must catch each of them, and none the sound build';
  static override flags = {
    seeds: Flags.integer({
      default: DEFAULT_SEEDS,
      description: 'maximum number of seeds for each mutant',
    }),
    mutant: Flags.string({
      multiple: true,
      options: [...MUTANT_NAMES],
      description: 'run only these mutants',
    }),
    json: Flags.boolean({ default: false, description: 'print a JSON report' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(MutantCommand);
    const names = (flags.mutant ?? MUTANT_NAMES).filter(isMutantName);
    const results: MutantResult[] = [];
    if (!flags.json) this.log('| mutant | fault | rule | seeds needed | sound build |');
    if (!flags.json) this.log('| --- | --- | --- | --- | --- |');
    for (const name of names) {
      const result = testMutant(name, flags.seeds);
      results.push(result);
      if (!flags.json) this.log(rowOf(result));
    }
    if (flags.json) this.log(JSON.stringify(results, undefined, 2));
    this.exit(results.every(isGood) ? 0 : 1);
  }
}
