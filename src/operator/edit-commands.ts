import { readFileSync } from 'node:fs';
import { Args, Flags } from '@oclif/core';
import { reasonOf } from '../common/errors.js';
import { baseOfEdit } from './operator.js';
import { OPERATOR_FLAGS, OperatorCommand } from './operator-command.js';

const BASE_FLAG = {
  base: Flags.integer({
    description: 'the table this edit was made from; the present one if left out',
  }),
} as const;

function valueOf(text: string): string | number | boolean {
  if (text === 'true' || text === 'repeatable' || text === 'stream') return true;
  if (text === 'false' || text === 'once' || text === 'whole') return false;
  return text !== '' && Number.isFinite(Number(text)) ? Number(text) : text;
}

abstract class EditCommand extends OperatorCommand {
  protected async base(apis: readonly string[], given: number | undefined): Promise<number> {
    const base = given ?? (await this.operator(apis).tableNumber());
    if (base === undefined) {
      process.stderr.write('turned-away: the present table could not be read\n');
      return this.exit(1);
    }
    return base;
  }
}

export class PutCommand extends EditCommand {
  static override aliases = ['word:put'];
  static override deprecateAliases = true;
  static override description = 'put a whole table, written in the mapping language, in force';
  static override args = {
    file: Args.string({ required: true, description: 'file in the mapping language' }),
  };
  static override flags = { ...OPERATOR_FLAGS, ...BASE_FLAG };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(PutCommand);
    let text = '';
    try {
      text = readFileSync(args.file, 'utf8');
    } catch (thrown) {
      process.stderr.write(`${reasonOf(thrown)}\n`);
      this.exit(2);
    }
    const base = await this.base(flags.api, flags.base);
    this.tell(await this.operator(flags.api).edit('PUT', '/table', { base, text }), flags.json);
  }
}

export class SetCommand extends EditCommand {
  static override aliases = ['word:set'];
  static override deprecateAliases = true;
  static override description = 'set one cell of the table';
  static override examples = ['haretrack operator set check/receipt-* weight 120'];
  static override args = {
    row: Args.string({ required: true, description: 'the row, as TYPE/MODEL' }),
    column: Args.string({
      required: true,
      description: 'weight, take, lateMs, repeatable, stream, type or model',
    }),
    value: Args.string({ required: true }),
  };
  static override flags = { ...OPERATOR_FLAGS, ...BASE_FLAG };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(SetCommand);
    const base = await this.base(flags.api, flags.base);
    const { row, column } = args;
    const value = column === 'type' || column === 'model' ? args.value : valueOf(args.value);
    this.tell(
      await this.operator(flags.api).edit('PATCH', '/table/cell', { base, row, column, value }),
      flags.json,
    );
  }
}

export class RowsCommand extends EditCommand {
  static override aliases = ['word:rows'];
  static override deprecateAliases = true;
  static override description = 'put and remove rows, leaving the rest of the table as it is';
  static override flags = {
    ...OPERATOR_FLAGS,
    ...BASE_FLAG,
    file: Flags.string({ description: 'JSON file with a list of rows to put' }),
    remove: Flags.string({
      description: 'a row to remove, as TYPE/MODEL',
      multiple: true,
      default: [],
    }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(RowsCommand);
    let put: unknown = [];
    try {
      if (flags.file !== undefined) put = JSON.parse(readFileSync(flags.file, 'utf8'));
    } catch (thrown) {
      process.stderr.write(`${reasonOf(thrown)}\n`);
      this.exit(2);
    }
    const base = await this.base(flags.api, flags.base);
    this.tell(
      await this.operator(flags.api).edit('PATCH', '/table/rows', {
        base,
        put,
        remove: flags.remove,
      }),
      flags.json,
    );
  }
}

export class EvacuateCommand extends OperatorCommand {
  static override aliases = ['word:empty'];
  static override deprecateAliases = true;
  static override description = 'empty a zone: no new work goes there once this returns';
  static override args = { zone: Args.string({ required: true }) };
  static override flags = OPERATOR_FLAGS;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(EvacuateCommand);
    this.tell(
      await this.operator(flags.api).edit(
        'PUT',
        `/zones/${encodeURIComponent(args.zone)}/empty`,
        {},
      ),
      flags.json,
    );
  }
}

export class RestoreCommand extends OperatorCommand {
  static override aliases = ['word:fill'];
  static override deprecateAliases = true;
  static override description = 'let an emptied zone have work again';
  static override args = { zone: Args.string({ required: true }) };
  static override flags = OPERATOR_FLAGS;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(RestoreCommand);
    this.tell(
      await this.operator(flags.api).edit(
        'DELETE',
        `/zones/${encodeURIComponent(args.zone)}/empty`,
        {},
      ),
      flags.json,
    );
  }
}

export class AskEditCommand extends OperatorCommand {
  static override aliases = ['word:edit'];
  static override deprecateAliases = true;
  static override description =
    'ask what became of an edit whose outcome was unsure; one not accepted by now never will be';
  static override args = { id: Args.string({ required: true }) };
  static override flags = OPERATOR_FLAGS;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(AskEditCommand);
    const base = baseOfEdit(args.id);
    this.tell(
      await this.operator(flags.api).ask(
        'GET',
        `/edits/${encodeURIComponent(args.id)}${base === undefined ? '' : `?base=${base}`}`,
      ),
      flags.json,
    );
  }
}

export class ReplaceVoterCommand extends OperatorCommand {
  static override aliases = ['word:swap'];
  static override deprecateAliases = true;
  static override description = 'let a new control node vote in place of another';
  static override args = {
    old: Args.string({ required: true, description: 'address of the voter to go' }),
    new: Args.string({ required: true, description: 'address of the one to come' }),
  };
  static override flags = OPERATOR_FLAGS;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(ReplaceVoterCommand);
    this.tell(
      await this.operator(flags.api).edit('POST', '/voters/swap', { old: args.old, new: args.new }),
      flags.json,
    );
  }
}

export class ForceNewClusterCommand extends OperatorCommand {
  static override aliases = ['word:found'];
  static override deprecateAliases = true;
  static override description =
    'found anew at nodes that lost everything, although members still hold a configuration';
  static override flags = OPERATOR_FLAGS;

  async run(): Promise<void> {
    const { flags } = await this.parse(ForceNewClusterCommand);
    // Each blank node must be told; one that is sound says so and does nothing.
    for (const api of flags.api)
      this.tell(await this.operator([api]).ask('POST', '/found', {}), flags.json);
  }
}
