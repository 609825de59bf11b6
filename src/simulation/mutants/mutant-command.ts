import { Command, Flags } from '@oclif/core';
import { hunt, type HuntResult } from './mutant-hunt.js';
import { MUTANT_NAMES, MUTANTS, type MutantName } from './mutants.js';

const DEFAULT_SEEDS = 20;

function isMutantName(text: string): text is MutantName {
  return MUTANT_NAMES.some((name) => text === name);
}

function rowOf({ mutant, caughtBy, rule, unsoundSeeds }: HuntResult): string {
  const sound = unsoundSeeds.length === 0 ? 'clean' : `broken on ${unsoundSeeds.join(', ')}`;
  const seed = caughtBy === undefined ? 'not caught' : String(caughtBy);
  return `| \`${mutant}\` | ${MUTANTS[mutant].what} | ${rule} | ${seed} | ${sound} |`;
}

/** Whether the checks caught the mutant and left the sound build alone on the same seeds. */
function isGood({ caughtBy, unsoundSeeds }: HuntResult): boolean {
  return caughtBy !== undefined && unsoundSeeds.length === 0;
}

/** Runs builds of the control side with one thing wrong each, and tells which seed and rule caught them. */
export class MutantCommand extends Command {
  static override description =
    'run builds of the control side with one thing wrong each; each must be caught by a rule, the sound build by none';
  static override flags = {
    seeds: Flags.integer({
      default: DEFAULT_SEEDS,
      description: 'how many seeds each gets at most',
    }),
    mutant: Flags.string({
      multiple: true,
      options: [...MUTANT_NAMES],
      description: 'only these mutants',
    }),
    json: Flags.boolean({ default: false, description: 'print a JSON report' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(MutantCommand);
    const names = (flags.mutant ?? MUTANT_NAMES).filter(isMutantName);
    const results: HuntResult[] = [];
    if (!flags.json) this.log('| mutant | what is wrong | rule | seeds needed | sound build |');
    if (!flags.json) this.log('| --- | --- | --- | --- | --- |');
    for (const name of names) {
      const result = hunt(name, flags.seeds);
      results.push(result);
      if (!flags.json) this.log(rowOf(result));
    }
    if (flags.json) this.log(JSON.stringify(results, undefined, 2));
    this.exit(results.every(isGood) ? 0 : 1);
  }
}
