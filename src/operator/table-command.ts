/** The command that prints the table in force, with its placement on request. */
import { setTimeout } from 'node:timers/promises';
import { Flags } from '@oclif/core';
import { array, number, string, type } from 'superstruct';
import { printTable } from '../policy/language.js';
import { TableShape } from '../policy/table.js';
import { LiveTableShape, type LiveTable, type LiveModel } from '../placement/live.js';
import { OPERATOR_FLAGS, OperatorCommand } from './operator-command.js';

const TableReplyShape = type({
  number: number(),
  table: TableShape,
  emptied: array(string()),
  voters: array(array(string())),
});
const POLL_INTERVAL_MS = 500;
/** Number of successive polls without a change or an order under way after which the placement counts as stable. */
const STABLE_POLLS = 6;

/** Prints the table as text, or each row with the runners that serve it and the models that wait for a load. */
export class TableCommand extends OperatorCommand {
  static override aliases = ['word:table'];
  static override deprecateAliases = true;
  static override description =
    'print the table in force; with --live, each row with its replicas, its demand and the models that wait';
  static override flags = {
    ...OPERATOR_FLAGS,
    live: Flags.boolean({
      default: false,
      description: 'print each row with primary, understudy, zones, demand and waiting models',
    }),
    watch: Flags.boolean({
      default: false,
      description: 'like --live, printed again at each change until the placement has settled',
    }),
    seconds: Flags.integer({
      default: 120,
      description: 'with --watch: timeout in seconds; exit code 1 if the placement has not settled',
    }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(TableCommand);
    if (flags.watch) {
      await this.#watch(flags.api, flags.seconds, flags.json);
      return;
    }
    if (flags.live) {
      const live = await this.#fetchLive(flags.api, flags.json);
      if (live) this.log(flags.json ? JSON.stringify(live) : liveText(live));
      return;
    }
    const reply = await this.operator(flags.api).request('GET', '/table');
    const { value } = reply;
    if (reply.status !== 200 || flags.json || !TableReplyShape.is(value)) {
      this.printReply(reply, flags.json);
      return;
    }
    this.log(
      `# table ${value.number}${value.emptied.length > 0 ? `, emptied zones: ${value.emptied.join(' ')}` : ''}`,
    );
    this.log(printTable(value.table).trimEnd());
  }

  async #fetchLive(api: readonly string[], isJson: boolean): Promise<LiveTable | undefined> {
    const reply = await this.operator(api).request('GET', '/live');
    const value: unknown = reply.value;
    if (LiveTableShape.is(value)) return value;
    this.printReply(reply, isJson);
    return undefined;
  }

  async #watch(api: readonly string[], seconds: number, isJson: boolean): Promise<void> {
    let previousPlaces = '';
    let stablePolls = 0;
    for (
      let poll = 0;
      poll * POLL_INTERVAL_MS < seconds * 1000 && stablePolls < STABLE_POLLS;
      poll += 1
    ) {
      const live = await this.#fetchLive(api, isJson);
      if (!live) return;
      // Only changes of the placement count: demand changes all the time.
      const places = placesText(live);
      if (places !== previousPlaces)
        this.log(isJson ? JSON.stringify(live) : `${liveText(live)}\n`);
      stablePolls = places === previousPlaces && live.underWay === 0 ? stablePolls + 1 : 0;
      previousPlaces = places;
      await setTimeout(POLL_INTERVAL_MS);
    }
    if (stablePolls >= STABLE_POLLS) {
      if (!isJson) this.log('settled');
      return;
    }
    if (!isJson) process.stderr.write(`not settled within ${seconds} s\n`);
    this.exit(1);
  }
}

function replicaText(replica: LiveModel['primary']): string {
  return replica.runner === ''
    ? '-'
    : `${replica.runner} (${replica.zone})${replica.isReady ? '' : ' fetching'}`;
}

function modelText(model: LiveModel): string {
  const wait = model.wait === '' ? '' : `  ${model.wait}, for ${Math.round(model.waitMs / 1000)} s`;
  return `  ${model.model}  ${replicaText(model.primary)} / ${replicaText(model.understudy)}  ${model.rate.toFixed(1)}/s${wait}`;
}

/** The table as text: each row with the models that it serves. A model of several rows is listed under the first of them. */
export function liveText(live: LiveTable): string {
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
      lines.push('  no model in the weight store, or all are listed under rows above');
  }
  const waits = live.models.filter((model) => model.wait !== '').map((model) => model.model);
  lines.push(waits.length === 0 ? 'no model waits' : `waiting: ${waits.join(' ')}`);
  return lines.join('\n');
}

/** A text that differs whenever the table, the evacuated zones or the placement differ. */
function placesText(live: LiveTable): string {
  const parts: string[] = [String(live.number), live.emptied.join(' ')];
  for (const model of live.models)
    parts.push(
      `${model.model} ${replicaText(model.primary)} ${replicaText(model.understudy)} ${model.wait}`,
    );
  return parts.sort().join('\n');
}
