import { beforeAll, describe, expect, test } from 'vitest';
import type { Moment } from '../common/ids.js';
import { CONTROL_DEFAULTS, type ControlEffect } from '../control/control-effect.js';
import { VOTE_DEFAULTS } from '../election/vote-settings.js';
import type { Catalog, Hold, Machines } from '../placement/shapes.js';
import { expectGolden } from './testing/golden.js';
import {
  PROXY_ID,
  RecordedCluster,
  type ExternalSystems,
  type RecordedNode,
  type Schedule,
} from './testing/recorded-cluster.js';
import { readStoredFolder } from './testing/stored-folder.js';

const NODES = [
  { id: '127.73.78.2:42529', zone: 'middle', folder: 'table/leader' },
  { id: '127.73.78.2:33847', zone: 'north', folder: 'table/follower' },
  { id: '127.73.78.2:34647', zone: 'south', folder: 'table/joined' },
];
const RUNNER_IDS = ['runner-00', 'runner-01', 'runner-02'];
const ZONES = ['north', 'middle', 'south'];
const MACHINES: Machines = {
  revision: 3,
  machines: RUNNER_IDS.map((id, index) => ({
    id,
    address: `10.0.1.${index}:8000`,
    zone: ZONES[index] ?? '',
    service: '',
    leaving: false,
  })),
};
const CATALOG: Catalog = {
  limit: 2,
  models: ['receipt-00', 'receipt-01', 'receipt-02', 'rare-00', 'rare-02'].map((name) => ({
    name,
    size: 14,
  })),
  adapters: [{ name: 'receipt-00-a0', model: 'receipt-00', size: 1 }],
};
const EXTERNAL_REPLY_MS = 20;
const LOAD_MS = 300;

/** Simulates runners that execute every order, the list of machines and the weight store's catalog. */
class TableExternalSystems implements ExternalSystems {
  readonly #holds = new Map<string, Map<string, Hold>>();

  perform(now: Moment, effect: ControlEffect, schedule: Schedule): void {
    switch (effect.do) {
      case 'askMachines':
        schedule(EXTERNAL_REPLY_MS, (core, at) => core.onMachines(at, MACHINES));
        break;
      case 'askCatalog':
        schedule(EXTERNAL_REPLY_MS, (core, at) => core.onCatalog(at, CATALOG));
        break;
      case 'askReport': {
        const holds = [...this.#holdsOf(effect.runner).values()];
        const report = {
          id: effect.runner,
          boot: 'b1',
          room: 40,
          slots: 4,
          upMs: now + 9000,
          holds,
        };
        schedule(EXTERNAL_REPLY_MS, (core, at) =>
          core.onRunnerReport(at, effect.runner, now, report),
        );
        break;
      }
      case 'order': {
        const { id, runner, verb, model, adapter, size } = effect.intent;
        const holds = this.#holdsOf(runner);
        const key = `${model}/${adapter}`;
        if (verb === 'unload') holds.delete(key);
        else holds.set(key, { model, adapter, size, state: 'loading', running: 0 });
        schedule(EXTERNAL_REPLY_MS, (core, at) => core.onOrderOutcome(at, id, 'taken'));
        schedule(LOAD_MS, () => {
          const hold = holds.get(key);
          if (hold) hold.state = 'ready';
        });
        break;
      }
      default:
        break;
    }
  }

  #holdsOf(runner: string): Map<string, Hold> {
    const holds = this.#holds.get(runner) ?? new Map<string, Hold>();
    this.#holds.set(runner, holds);
    return holds;
  }
}

function demandAt(now: Moment): string {
  return JSON.stringify({
    flow: PROXY_ID,
    units: [
      { model: 'receipt-00', adapter: '', count: 12 },
      { model: 'receipt-00', adapter: 'receipt-00-a0', count: 3 },
      { model: now > 8000 ? 'rare-02' : 'receipt-02', adapter: '', count: 4 },
    ],
    rows: [{ row: 'check/receipt-*', count: 15 }],
  });
}

async function startCluster(): Promise<RecordedCluster> {
  const nodes: RecordedNode[] = [];
  for (const { id, zone, folder } of NODES)
    nodes.push({ id, zone, stored: await readStoredFolder(folder) });
  return new RecordedCluster({
    nodes,
    settings: () => CONTROL_DEFAULTS,
    vote: VOTE_DEFAULTS,
    externalSystems: new TableExternalSystems(),
    demand: demandAt,
    isDeployed: false,
  });
}

/** The number of the stored configuration, and the ids of an accepted edit and of one that a query closed. */
const STORED_NUMBER = 79;
const ACCEPTED_EDIT = 'bc2c2d07-2948-4247-8ecb-3d085d7c9c8f';
const CLOSED_EDIT = 'closed-119';

const TABLE_TEXT = [
  'map POST /v1/checks to check',
  'row check receipt-* weight 80 take 200/s late 10s once stream',
  'row check rare-* weight 20 take 50/s late 10s once stream',
].join('\n');
const RECEIPT = {
  type: 'check',
  model: 'receipt-*',
  weight: 70,
  take: 200,
  lateMs: 10_000,
  repeatable: false,
  stream: true,
};

/** Sends every kind of command, alternately to the leader and to a follower; some of them are rejected. */
function sendCommands(cluster: RecordedCluster, base: number): void {
  const leader = cluster.leader();
  const follower = cluster.follower();
  const row = 'check/receipt-*';
  const commands: readonly (readonly [string, object])[] = [
    ['table', { id: 'put-1', base, text: TABLE_TEXT }],
    ['table', { id: 'put-2', base: base + 1, table: { mappings: [], rows: [RECEIPT] } }],
    ['table', { id: 'put-3', base: base + 2, text: 'row check' }],
    ['table', { id: 'put-4', base: base + 2, text: TABLE_TEXT }],
    ['cell', { id: 'cell-1', base: base + 3, row, column: 'weight', value: 71 }],
    ['cell', { id: 'cell-1', base: base + 3, row, column: 'weight', value: 71 }],
    ['cell', { id: 'cell-2', base: base + 3, row, column: 'weight', value: 72 }],
    ['cell', { id: 'cell-3', base: base + 4, row, column: 'weight', value: 0 }],
    ['cell', { id: 'cell-4', base: base + 4, row, column: 'height', value: 1 }],
    ['rows', { id: 'rows-1', base: base + 4, put: [{ ...RECEIPT, model: 'x-*' }], remove: [] }],
    ['rows', { id: 'rows-2', base: base + 5, put: [], remove: ['check/x-*'] }],
    ['rows', { id: 'rows-3', base: base + 6, put: [], remove: ['check/none-*'] }],
    ['zone', { id: 'zone-1', zone: 'south', empty: true }],
    ['zone', { id: 'zone-2', zone: 'north', empty: false }],
    ['edit', { id: 'cell-1' }],
    ['edit', { id: 'unknown-1', base: base + 6 }],
    ['cell', { id: 'unknown-1', base: base + 6, row, column: 'weight', value: 73 }],
    ['swap', { id: 'swap-1', old: 'nobody:1', new: 'somebody:1' }],
    ['cell', { base: 'none' }],
    ['no-such-verb', { id: 'verb-1' }],
    ['found', {}],
    ['read', {}],
    ['live', {}],
    ['fleet', {}],
    ['status', {}],
  ];
  for (const [index, [verb, body]] of commands.entries()) {
    cluster.command(index % 2 === 0 ? leader : follower, verb, body);
    cluster.run(300);
  }
}

describe('control nodes with a policy table on data folders of an earlier build', () => {
  let cluster: RecordedCluster;
  let voters: readonly string[];
  let restoredAnswers: object;

  beforeAll(async () => {
    cluster = await startCluster();
    cluster.run(6000);
    const leader = cluster.leader();
    voters = cluster.core(leader).voters;
    const read: unknown = JSON.parse(cluster.command(leader, 'read', {}).body);
    const accepted = cluster.command(leader, 'edit', { id: ACCEPTED_EDIT });
    const closed = cluster.command(leader, 'edit', { id: CLOSED_EDIT });
    restoredAnswers = { read, accepted, closed };
    sendCommands(cluster, STORED_NUMBER);
    cluster.run(5000);
  });

  test('elect a leader with the stored voters', () => {
    expect(voters).toEqual(NODES.map(({ id }) => id).sort());
  });

  test('serve the stored policy table and recognize the stored edits', () => {
    expectGolden('stored/table-answers.json', restoredAnswers);
  });

  test('write, send and answer the same JSON bodies', () => {
    expectGolden('wire/table-bodies.json', cluster.bodies);
  });

  test('have the agent send the same messages to its proxy', () => {
    expectGolden('wire/table-feed.json', cluster.feed);
  });
});
