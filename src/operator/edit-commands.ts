/** Commands that change the table, the evacuated zones and the voters. */
import { readFileSync } from 'node:fs';
import { Args, Flags } from '@oclif/core';
import { reasonOf } from '../common/errors.js';
import { baseTableOfEdit } from './operator.js';
import { OPERATOR_FLAGS, OperatorCommand } from './operator-command.js';

const BASE_FLAG = {
  base: Flags.integer({
    description: 'number of the table that this edit is based on; default: the table in force',
  }),
} as const;

/** Parses the value of a cell as given on the command line: a keyword of a column, a number, or else text. */
function parseValue(text: string): string | number | boolean {
  if (text === 'true' || text === 'repeatable' || text === 'stream') return true;
  if (text === 'false' || text === 'once' || text === 'whole') return false;
  return text !== '' && Number.isFinite(Number(text)) ? Number(text) : text;
}

/** A command whose change is based on a certain table. */
abstract class EditCommand extends OperatorCommand {
  /** The number of the table that a change is based on: the given one, or that of the table in force. */
  protected async base(apis: readonly string[], given: number | undefined): Promise<number> {
    const base = given ?? (await this.operator(apis).tableNumber());
    if (base === undefined) {
      process.stderr.write('turned-away: the table in force could not be read\n');
      return this.exit(1);
    }
    return base;
  }
}

/** Puts a complete table in force. Fails if the table in force is not the one that the change is based on. */
export class PutCommand extends EditCommand {
  static override aliases = ['word:put'];
  static override deprecateAliases = true;
  static override description = 'put a complete table, written in the mapping language, in force';
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
    this.printReply(
      await this.operator(flags.api).edit('PUT', '/table', { base, text }),
      flags.json,
    );
  }
}

/** Sets one cell of the table. */
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
    const value = column === 'type' || column === 'model' ? args.value : parseValue(args.value);
    this.printReply(
      await this.operator(flags.api).edit('PATCH', '/table/cell', { base, row, column, value }),
      flags.json,
    );
  }
}

/** Puts and removes rows of the table. */
export class RowsCommand extends EditCommand {
  static override aliases = ['word:rows'];
  static override deprecateAliases = true;
  static override description = 'put and remove rows, and leave the rest of the table unchanged';
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
    this.printReply(
      await this.operator(flags.api).edit('PATCH', '/table/rows', {
        base,
        put,
        remove: flags.remove,
      }),
      flags.json,
    );
  }
}

/** Evacuates a zone: once it succeeds, no new work goes to the zone's runners. */
export class EvacuateCommand extends OperatorCommand {
  static override aliases = ['word:empty'];
  static override deprecateAliases = true;
  static override description = 'evacuate a zone: no new work goes there once this returns';
  static override args = { zone: Args.string({ required: true }) };
  static override flags = OPERATOR_FLAGS;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(EvacuateCommand);
    this.printReply(
      await this.operator(flags.api).edit(
        'PUT',
        `/zones/${encodeURIComponent(args.zone)}/empty`,
        {},
      ),
      flags.json,
    );
  }
}

/** Revokes the evacuation of a zone. */
export class RestoreCommand extends OperatorCommand {
  static override aliases = ['word:fill'];
  static override deprecateAliases = true;
  static override description = 'let an evacuated zone get work again';
  static override args = { zone: Args.string({ required: true }) };
  static override flags = OPERATOR_FLAGS;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(RestoreCommand);
    this.printReply(
      await this.operator(flags.api).edit(
        'DELETE',
        `/zones/${encodeURIComponent(args.zone)}/empty`,
        {},
      ),
      flags.json,
    );
  }
}

/** Queries the outcome of an edit. An edit that has not been accepted yet is closed, and will not be accepted later. */
export class EditStatusCommand extends OperatorCommand {
  static override aliases = ['word:edit'];
  static override deprecateAliases = true;
  static override description =
    'query an edit whose outcome was unknown; one that is not accepted yet will never be accepted';
  static override args = { id: Args.string({ required: true }) };
  static override flags = OPERATOR_FLAGS;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(EditStatusCommand);
    const base = baseTableOfEdit(args.id);
    this.printReply(
      await this.operator(flags.api).request(
        'GET',
        `/edits/${encodeURIComponent(args.id)}${base === undefined ? '' : `?base=${base}`}`,
      ),
      flags.json,
    );
  }
}

/** Replaces a voter by another control node. */
export class ReplaceVoterCommand extends OperatorCommand {
  static override aliases = ['word:swap'];
  static override deprecateAliases = true;
  static override description = 'replace a voter by another control node';
  static override args = {
    old: Args.string({ required: true, description: 'address of the voter to replace' }),
    new: Args.string({ required: true, description: 'address of the new voter' }),
  };
  static override flags = OPERATOR_FLAGS;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(ReplaceVoterCommand);
    this.printReply(
      await this.operator(flags.api).edit('POST', '/voters/swap', { old: args.old, new: args.new }),
      flags.json,
    );
  }
}

/** Starts a new cluster from nodes that lost their disks, as a last resort: data that only the lost disks held is lost. */
export class ForceNewClusterCommand extends OperatorCommand {
  static override aliases = ['word:found'];
  static override deprecateAliases = true;
  static override description =
    'start a new cluster from nodes that lost all data, although members still hold a configuration';
  static override flags = OPERATOR_FLAGS;

  async run(): Promise<void> {
    const { flags } = await this.parse(ForceNewClusterCommand);
    // Every node without state needs the command; a node that still holds its state replies so and does nothing.
    for (const api of flags.api)
      this.printReply(await this.operator([api]).request('POST', '/found', {}), flags.json);
  }
}
