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

export interface TableMeasure {
  readonly rows: number;
  readonly bytes: number;
  /** Microseconds a request, found by the index and by walking the table, in the same run. */
  readonly drawUs: number;
  readonly walkUs: number;
  /** Each of these holds up the loop it runs on. */
  readonly compileMs: number;
  readonly checkMs: number;
  readonly takenByProxyMs: number;
  /** From the leader to the last of twelve proxies, in virtual milliseconds. */
  readonly inForceMs: number;
}

function tableOf(count: number): Table {
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

function walk(table: Table, path: string, model: string): boolean {
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

function find(table: Table, path: string, model: string): boolean {
  const mapping = findMapping(table, 'POST', path);
  return mapping !== undefined && findRow(table, mapping.type, model) !== undefined;
}

function microsOf(
  table: Table,
  look: (table: Table, path: string, model: string) => boolean,
  times: number,
): number {
  const start = monotonicNow();
  let found = 0;
  for (let index = 0; index < times; index += 1) {
    const at = (index * 7919) % table.rows.length;
    if (look(table, `/v1/t-${at}${at % 2 === 0 ? '/x' : ''}`, `m-${at}`)) found += 1;
  }
  if (found !== times) throw new Error(`found ${found} of ${times}`);
  return ((monotonicNow() - start) * 1000) / times;
}

function millisOf(run: () => void): number {
  const start = monotonicNow();
  run();
  return Math.round(monotonicNow() - start);
}

export function measureTable(count: number): TableMeasure {
  const table = tableOf(count);
  const text = printTable(table);
  const body = JSON.stringify({ number: 1, table, emptied: [], voters: [] });
  const decision = new PolicyRouter({
    ...POLICY_ROUTER_DEFAULTS,
    freshnessBoundMs: 1e9,
    proxyId: 'f',
  });
  find(table, '/v1/t-0/x', 'm-0');
  return {
    rows: count,
    bytes: body.length,
    drawUs: microsOf(table, find, 20_000),
    walkUs: microsOf(table, walk, 200),
    compileMs: millisOf(() => {
      if (compile(text).faults.length > 0) throw new Error('the table has faults');
    }),
    checkMs: millisOf(() => {
      checkTable(table);
    }),
    takenByProxyMs: millisOf(() => {
      decision.onUpdate(moment(0), 'config', { epoch: 2, count: 1 }, body);
    }),
    inForceMs: inForce(table),
  };
}

function inForce(table: Table): number {
  const simulation = new Simulation({ seed: 1, edges: 12, stormMs: 0, troubles: [] });
  const { scheduler } = simulation;
  simulation.start();
  scheduler.runUntil(15_000);
  const start = scheduler.now;
  let yes = -1;
  simulation
    .leader()
    ?.command('table', JSON.stringify({ id: 'large', base: 0, table }), (status: number) => {
      if (status === 200) yes = scheduler.now - start;
    });
  for (let step = 0; step < 300 && yes < 0; step += 1) scheduler.runUntil(scheduler.now + 10);
  return Math.round(yes);
}
