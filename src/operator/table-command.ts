import { Flags } from '@oclif/core';
import { array, number, string, type } from 'superstruct';
import { printTable } from '../policy/language.js';
import { TableShape } from '../policy/table.js';
import { LiveShape, type Live, type LiveModel } from '../placement/live.js';
import { OPERATOR_FLAGS, OperatorCommand } from './operator-command.js';

const TableReplyShape = type({
  number: number(),
  table: TableShape,
  emptied: array(string()),
  voters: array(array(string())),
});
const WATCH_MS = 500;
/** Nothing under way and nothing changed for so many looks: the placement has settled. */
const CALM_LOOKS = 6;

/** The table as text, or with who serves and who waits beside each row. */
export class TableCommand extends OperatorCommand {
  static override aliases = ['word:table'];
  static override deprecateAliases = true;
  static override description =
    'print the table in force; with --live, each row with its places, its demand and who waits for what';
  static override flags = {
    ...OPERATOR_FLAGS,
    live: Flags.boolean({
      default: false,
      description: 'print each row beside primary, understudy, zones, demand and waits',
    }),
    watch: Flags.boolean({
      default: false,
      description: 'like --live, printed anew at each change until the placement has settled',
    }),
    seconds: Flags.integer({
      default: 120,
      description: 'with --watch: the longest; exit code 1 if it has not settled by then',
    }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(TableCommand);
    if (flags.watch) {
      await this.#watch(flags.api, flags.seconds, flags.json);
      return;
    }
    if (flags.live) {
      const live = await this.#ask(flags.api, flags.json);
      if (live) this.log(flags.json ? JSON.stringify(live) : liveText(live));
      return;
    }
    const returned = await this.operator(flags.api).ask('GET', '/table');
    const { value } = returned;
    if (returned.status !== 200 || flags.json || !TableReplyShape.is(value)) {
      this.tell(returned, flags.json);
      return;
    }
    this.log(
      `# table ${value.number}${value.emptied.length > 0 ? `, emptied zones: ${value.emptied.join(' ')}` : ''}`,
    );
    this.log(printTable(value.table).trimEnd());
  }

  async #ask(api: readonly string[], isJson: boolean): Promise<Live | undefined> {
    const returned = await this.operator(api).ask('GET', '/live');
    const value: unknown = returned.value;
    if (LiveShape.is(value)) return value;
    this.tell(returned, isJson);
    return undefined;
  }

  async #watch(api: readonly string[], seconds: number, isJson: boolean): Promise<void> {
    let before = '';
    let calm = 0;
    for (let look = 0; look * WATCH_MS < seconds * 1000 && calm < CALM_LOOKS; look += 1) {
      const live = await this.#ask(api, isJson);
      if (!live) return;
      // Demand moves all the time; places are what is waited for.
      const places = placesText(live);
      if (places !== before) this.log(isJson ? JSON.stringify(live) : `${liveText(live)}\n`);
      calm = places === before && live.underWay === 0 ? calm + 1 : 0;
      before = places;
      await new Promise<void>(afterLook);
    }
    if (calm >= CALM_LOOKS) {
      if (!isJson) this.log('settled');
      return;
    }
    if (!isJson) process.stderr.write(`not settled within ${seconds} s\n`);
    this.exit(1);
  }
}

function afterLook(done: () => void): void {
  setTimeout(done, WATCH_MS);
}

function seatText(seat: LiveModel['primary']): string {
  return seat.runner === ''
    ? '-'
    : `${seat.runner} (${seat.zone})${seat.isReady ? '' : ' fetching'}`;
}

function modelText(model: LiveModel): string {
  const wait = model.wait === '' ? '' : `  ${model.wait}, for ${Math.round(model.waitMs / 1000)} s`;
  return `  ${model.model}  ${seatText(model.primary)} / ${seatText(model.understudy)}  ${model.rate.toFixed(1)}/s${wait}`;
}

/** Each row with the models that it serves; a model that several rows want stands under the first of them. */
export function liveText(live: Live): string {
  const lines = [
    `table ${live.number}, emptied zones: ${live.emptied.join(' ') || 'none'}, orders under way: ${live.underWay}`,
  ];
  const seen = new Set<string>();
  for (const row of live.rows) {
    lines.push(`${row.row}  weight ${row.weight}  ${row.rate.toFixed(1)}/s of ${row.take}/s`);
    if (row.row.includes('/@')) {
      lines.push('  plain back ends, not placed');
      continue;
    }
    const own: LiveModel[] = [];
    for (const model of live.models)
      if (model.rows.includes(row.row) && !seen.has(model.model)) own.push(model);
    for (const model of own) {
      seen.add(model.model);
      lines.push(modelText(model));
    }
    if (own.length === 0)
      lines.push('  no model of the weight store, or all stand under rows above');
  }
  const waits = live.models.filter(hasWait).map(nameOf);
  lines.push(waits.length === 0 ? 'nobody waits' : `waiting: ${waits.join(' ')}`);
  return lines.join('\n');
}

function hasWait(model: LiveModel): boolean {
  return model.wait !== '';
}
function nameOf(model: LiveModel): string {
  return model.model;
}
function placesText(live: Live): string {
  const parts: string[] = [String(live.number), live.emptied.join(' ')];
  for (const model of live.models)
    parts.push(
      `${model.model} ${seatText(model.primary)} ${seatText(model.understudy)} ${model.wait}`,
    );
  return parts.sort().join('\n');
}
