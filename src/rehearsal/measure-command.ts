import { Args, Command, Flags } from '@oclif/core';
import { measureLosses, measureTakeover } from './loss-measure.js';
import { measureTable } from './table-measure.js';
import {
  measureOverload,
  measurePrefixAffinity,
  measureDissemination,
  measureProxyOverhead,
} from './measures.js';

/** The command `rehearsal measure`: runs one of the measurements and prints its results as JSON lines. */
export class MeasureCommand extends Command {
  static override aliases = ['myth:measure'];
  static override deprecateAliases = true;
  static override description =
    'run a measurement in virtual time, or one that compares times within a run';
  static override args = {
    topic: Args.string({
      required: true,
      options: ['news', 'draw', 'crowd', 'relay', 'table', 'loss', 'takeover'],
    }),
  };
  static override flags = {
    seed: Flags.integer({ default: 1 }),
    rounds: Flags.integer({
      default: 1000,
      description: 'number of rounds of the relay measurement',
    }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(MeasureCommand);
    if (args.topic === 'news')
      for (const edges of [12, 50, 200])
        this.log(JSON.stringify(measureDissemination(edges, flags.seed)));
    if (args.topic === 'draw')
      for (const row of measurePrefixAffinity(flags.seed)) this.log(JSON.stringify(row));
    if (args.topic === 'crowd')
      for (const row of measureOverload(flags.seed)) this.log(JSON.stringify(row));
    if (args.topic === 'relay') this.log(JSON.stringify(await measureProxyOverhead(flags.rounds)));
    if (args.topic === 'table')
      for (const rows of [10, 1000, 10_000]) this.log(JSON.stringify(measureTable(rows)));
    if (args.topic === 'loss')
      for (const row of await measureLosses(flags.seed, 40)) this.log(JSON.stringify(row));
    if (args.topic === 'takeover') this.log(JSON.stringify(await measureTakeover(flags.seed, 40)));
    this.exit(0);
  }
}
