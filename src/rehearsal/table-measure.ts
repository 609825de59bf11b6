import { compile, printTable } from '../policy/language.js';
import {
  checkTable,
  findMapping,
  findRow,
  matchesModel,
  type Mapping,
  type Row,
  type Table,
} from '../policy/table.js';
import { PolicyRouter } from '../proxy/policy-router.js';
import { POLICY_ROUTER_DEFAULTS } from '../proxy/policy-router-types.js';
import { monotonicNow } from '../common/clock.js';
import { moment } from '../common/ids.js';
import { Simulation } from './simulation.js';

/** Cost of a policy table of a given size. */
export interface TableMeasure {
  readonly rows: number;
  readonly bytes: number;
  /** Time to find a request's row by the index, in µs. */
  readonly drawUs: number;
  /** Time to find a request's row by a linear scan in the same run, in µs. */
  readonly walkUs: number;
  /** Times to compile the table, to check it, and to apply it at a proxy; each blocks the event loop that it runs on. */
  readonly compileMs: number;
  readonly checkMs: number;
  readonly takenByProxyMs: number;
  /** Time until the leader reports the table as in force at the last of twelve proxies, in virtual milliseconds. */
  readonly inForceMs: number;
}

function makeTable(count: number): Table {
  const rows: Row[] = [];
  const mappings: Mapping[] = [];
  for (let index = 0; index < count; index += 1) {
    rows.push({
      type: `t-${index}`,
      model: `m-${index}${index % 3 === 0 ? '*' : ''}`,
      weight: 1 + (index % 100),
      take: 10,
      lateMs: 10_000,
      repeatable: false,
      stream: true,
    });
    mappings.push({
      method: 'POST',
      path: `/v1/t-${index}${index % 2 === 0 ? '/*' : ''}`,
      type: `t-${index}`,
    });
  }
  return { rows, mappings };
}

function findByScan(table: Table, path: string, model: string): boolean {
  let best: Mapping | undefined;
  for (const mapping of table.mappings)
    if (
      mapping.method === 'POST' &&
      matchesModel(mapping.path, path) &&
      (!best || mapping.path.length > best.path.length)
    )
      best = mapping;
  for (const row of table.rows)
    if (row.type === best?.type && matchesModel(row.model, model)) return true;
  return false;
}

function findByIndex(table: Table, path: string, model: string): boolean {
  const mapping = findMapping(table, 'POST', path);
  return mapping !== undefined && findRow(table, mapping.type, model) !== undefined;
}

function lookupMicros(
  table: Table,
  lookUp: (table: Table, path: string, model: string) => boolean,
  times: number,
): number {
  const start = monotonicNow();
  let found = 0;
  for (let index = 0; index < times; index += 1) {
    const at = (index * 7919) % table.rows.length;
    if (lookUp(table, `/v1/t-${at}${at % 2 === 0 ? '/x' : ''}`, `m-${at}`)) found += 1;
  }
  if (found !== times) throw new Error(`found ${found} of ${times}`);
  return ((monotonicNow() - start) * 1000) / times;
}

function elapsedMs(run: () => void): number {
  const start = monotonicNow();
  run();
  return Math.round(monotonicNow() - start);
}

/**
 * Measures a table of `count` rows and mappings. Throws an error if the table has faults or a lookup finds no row.
 */
export function measureTable(count: number): TableMeasure {
  const table = makeTable(count);
  const text = printTable(table);
  const body = JSON.stringify({ number: 1, table, emptied: [], voters: [] });
  const router = new PolicyRouter({
    ...POLICY_ROUTER_DEFAULTS,
    freshnessBoundMs: 1e9,
    proxyId: 'f',
  });
  findByIndex(table, '/v1/t-0/x', 'm-0');
  return {
    rows: count,
    bytes: body.length,
    drawUs: lookupMicros(table, findByIndex, 20_000),
    walkUs: lookupMicros(table, findByScan, 200),
    compileMs: elapsedMs(() => {
      if (compile(text).faults.length > 0) throw new Error('the table has faults');
    }),
    checkMs: elapsedMs(() => {
      checkTable(table);
    }),
    takenByProxyMs: elapsedMs(() => {
      router.onUpdate(moment(0), 'config', { epoch: 2, count: 1 }, body);
    }),
    inForceMs: measureInForceMs(table),
  };
}

function measureInForceMs(table: Table): number {
  const simulation = new Simulation({ seed: 1, edges: 12, faultPeriodMs: 0, faultKinds: [] });
  const { scheduler } = simulation;
  simulation.start();
  scheduler.runUntil(15_000);
  const start = scheduler.now;
  let acknowledgedMs = -1;
  simulation
    .leader()
    ?.command('table', JSON.stringify({ id: 'large', base: 0, table }), (status: number) => {
      if (status === 200) acknowledgedMs = scheduler.now - start;
    });
  for (let step = 0; step < 300 && acknowledgedMs < 0; step += 1)
    scheduler.runUntil(scheduler.now + 10);
  return Math.round(acknowledgedMs);
}
