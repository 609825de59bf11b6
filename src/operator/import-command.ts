import { existsSync } from 'node:fs';
import { Args, Command } from '@oclif/core';
import { importOpenApi } from '../policy/open-api.js';
import { reasonOf } from '../common/errors.js';

/** Prints the operations of an OpenAPI file as mappings of the mapping language. */
export class ImportCommand extends Command {
  static override aliases = ['word:import'];
  static override deprecateAliases = true;
  static override description =
    'print the mappings of an OpenAPI file in the mapping language; the rows have to be added by hand';
  static override args = {
    file: Args.string({ required: true, description: 'OpenAPI file, JSON or YAML' }),
  };

  async run(): Promise<void> {
    const { args } = await this.parse(ImportCommand);
    if (!existsSync(args.file)) {
      process.stderr.write(`${args.file}: no such file\n`);
      this.exit(2);
    }
    try {
      const { mappings, skipped } = await importOpenApi(args.file);
      for (const { method, path, type } of mappings) this.log(`map ${method} ${path} to ${type}`);
      for (const item of skipped) this.log(`# left out: ${item}`);
    } catch (thrown) {
      process.stderr.write(`${reasonOf(thrown)}\n`);
      this.exit(1);
    }
  }
}
