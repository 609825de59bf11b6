import type { Catalog } from '../placement/shapes.js';

/** One type of request that callers send, and its rate. */
export interface TrafficKind {
  readonly type: string;
  readonly method: string;
  readonly path: string;
  /** Requests per second over the whole fleet. */
  readonly perSecond: number;
  /** Models that requests name; empty for requests to plain back ends. */
  readonly models: readonly string[];
  readonly stream: boolean;
  /** The request must not run twice. */
  readonly once: boolean;
  readonly tokens: number;
  /** Number of shared prompt parts that a request names. */
  readonly parts: number;
}

/** A model runner of a deployment. */
export interface RunnerSpec {
  readonly id: string;
  readonly zone: string;
  /** Capacity for models, in the unit of model sizes. */
  readonly room: number;
  /** Requests that it runs concurrently. */
  readonly slots: number;
}
/** A plain back end, which serves no models, of a deployment. */
export interface PlainBackEndSpec {
  readonly id: string;
  readonly zone: string;
  readonly service: string;
  /** Processing time of a request, ms. */
  readonly workMs: number;
}

/** The size, catalog, policy table and traffic of a deployment. */
export interface Deployment {
  readonly name: string;
  readonly zones: readonly string[];
  readonly edges: number;
  readonly controlNodes: number;
  readonly runners: readonly RunnerSpec[];
  readonly plainBackEnds: readonly PlainBackEndSpec[];
  readonly catalog: Catalog;
  readonly table: string;
  readonly traffic: readonly TrafficKind[];
}

/** Models of the same size, and the number of adapters spread over them. */
interface Family {
  readonly name: string;
  readonly count: number;
  readonly size: number;
  readonly adapters: number;
}

function modelNames(family: Family): string[] {
  const list: string[] = [];
  for (let index = 0; index < family.count; index += 1)
    list.push(`${family.name}-${String(index).padStart(2, '0')}`);
  return list;
}

function catalogOf(families: readonly Family[], limit: number): Catalog {
  const models: Catalog['models'] = [];
  const adapters: Catalog['adapters'] = [];
  for (const family of families) {
    const list = modelNames(family);
    for (const name of list) models.push({ name, size: family.size });
    for (let index = 0; index < family.adapters; index += 1) {
      const model = list[index % list.length] ?? '';
      adapters.push({ name: `${model}-a${Math.floor(index / list.length)}`, model, size: 1 });
    }
  }
  return { limit, models, adapters };
}

function runnersOf(
  count: number,
  zones: readonly string[],
  room: number,
  slots: number,
): RunnerSpec[] {
  const list: RunnerSpec[] = [];
  for (let index = 0; index < count; index += 1)
    list.push({
      id: `runner-${String(index).padStart(2, '0')}`,
      zone: zones[index % zones.length] ?? '',
      room,
      slots,
    });
  return list;
}

function plainOf(service: string, zones: readonly string[], workMs: number): PlainBackEndSpec[] {
  const list: PlainBackEndSpec[] = [];
  for (let index = 0; index < 3; index += 1)
    list.push({
      id: `${service}-${index}`,
      zone: zones[index % zones.length] ?? '',
      service,
      workMs,
    });
  return list;
}

const ZONES = ['north', 'middle', 'south'] as const;

const RECEIPT: Family = { name: 'receipt', count: 14, size: 14, adapters: 28 };
const CUSTOMS: Family = { name: 'customs', count: 8, size: 12, adapters: 8 };
const LEDGER: Family = { name: 'ledger', count: 6, size: 20, adapters: 4 };
const RARE: Family = { name: 'rare', count: 8, size: 12, adapters: 0 };

/** Tills, customs checks, ledgers and kiosk lookups. */
export const DAKAR: Deployment = {
  name: 'dakar',
  zones: ZONES,
  edges: 9,
  controlNodes: 3,
  runners: runnersOf(8, ZONES, 80, 12),
  plainBackEnds: plainOf('kiosk', ZONES, 15),
  catalog: catalogOf([RECEIPT, CUSTOMS, LEDGER, RARE], 3),
  table: [
    '# Dakar: tills, customs, ledgers, kiosks',
    'map POST /v1/checks to check',
    'map POST /v1/verdicts to verdict',
    'map POST /v1/ledgers to ledger',
    'map GET /v1/refunds/* to lookup',
    'row check receipt-* weight 80 take 60/s late 20s once stream',
    'row check rare-* weight 20 take 10/s late 20s once stream',
    'row verdict customs-* weight 100 take 10/s late 15s once stream',
    'row ledger ledger-* weight 10 take 4/s late 120s once whole',
    'row lookup @kiosk weight 60 take 90/s late 2s repeatable whole',
  ].join('\n'),
  traffic: [
    {
      type: 'check',
      method: 'POST',
      path: '/v1/checks',
      perSecond: 12,
      models: modelNames(RECEIPT),
      stream: true,
      once: true,
      tokens: 20,
      parts: 2,
    },
    {
      type: 'verdict',
      method: 'POST',
      path: '/v1/verdicts',
      perSecond: 2,
      models: modelNames(CUSTOMS),
      stream: true,
      once: true,
      tokens: 12,
      parts: 2,
    },
    {
      type: 'ledger',
      method: 'POST',
      path: '/v1/ledgers',
      perSecond: 0.3,
      models: modelNames(LEDGER),
      stream: false,
      once: true,
      tokens: 40,
      parts: 8,
    },
    {
      type: 'lookup',
      method: 'GET',
      path: '/v1/refunds',
      perSecond: 30,
      models: [],
      stream: false,
      once: false,
      tokens: 0,
      parts: 0,
    },
  ],
};

const LIVE: Family = { name: 'live', count: 10, size: 14, adapters: 35 };
const NOTE: Family = { name: 'note', count: 8, size: 12, adapters: 12 };
const SUMMARY: Family = { name: 'summary', count: 4, size: 24, adapters: 8 };
const SELDOM: Family = { name: 'seldom', count: 8, size: 12, adapters: 0 };

/** Live and slow moderation, summaries and ranking pages. */
export const SOFIA: Deployment = {
  name: 'sofia',
  zones: ZONES,
  edges: 8,
  controlNodes: 3,
  runners: runnersOf(13, ZONES, 60, 12),
  plainBackEnds: plainOf('ranking', ZONES, 12),
  catalog: catalogOf([LIVE, NOTE, SUMMARY, SELDOM], 4),
  table: [
    '# Sofia: moderators, their slower queue, run logs, the rankings site',
    'map POST /v1/notes/live to live',
    'map POST /v1/notes/slow to slow',
    'map POST /v1/summaries to summary',
    'map GET /v1/pages/* to page',
    'row live live-* weight 100 take 60/s late 15s once stream',
    'row live seldom-* weight 20 take 10/s late 15s once stream',
    'row slow note-* weight 30 take 10/s late 60s once stream',
    'row summary summary-* weight 10 take 4/s late 120s once whole',
    'row page @ranking weight 60 take 140/s late 2s repeatable whole',
  ].join('\n'),
  traffic: [
    {
      type: 'live',
      method: 'POST',
      path: '/v1/notes/live',
      perSecond: 10,
      models: modelNames(LIVE),
      stream: true,
      once: true,
      tokens: 20,
      parts: 2,
    },
    {
      type: 'slow',
      method: 'POST',
      path: '/v1/notes/slow',
      perSecond: 1,
      models: modelNames(NOTE),
      stream: true,
      once: true,
      tokens: 20,
      parts: 2,
    },
    {
      type: 'summary',
      method: 'POST',
      path: '/v1/summaries',
      perSecond: 0.3,
      models: modelNames(SUMMARY),
      stream: false,
      once: true,
      tokens: 40,
      parts: 8,
    },
    {
      type: 'page',
      method: 'GET',
      path: '/v1/pages',
      perSecond: 45,
      models: [],
      stream: false,
      once: false,
      tokens: 0,
      parts: 0,
    },
  ],
};

/** A deployment small enough for a test. */
export const HAMLET: Deployment = {
  name: 'hamlet',
  zones: ZONES,
  edges: 2,
  controlNodes: 3,
  runners: runnersOf(3, ZONES, 40, 8),
  plainBackEnds: plainOf('kiosk', ZONES, 5),
  catalog: catalogOf(
    [
      { name: 'receipt', count: 3, size: 12, adapters: 2 },
      { name: 'rare', count: 4, size: 12, adapters: 0 },
    ],
    2,
  ),
  table: [
    'map POST /v1/checks to check',
    'map GET /v1/refunds/* to lookup',
    'row check receipt-* weight 80 take 200/s late 10s once stream',
    'row check rare-* weight 20 take 50/s late 10s once stream',
    'row lookup @kiosk weight 60 take 200/s late 2s repeatable whole',
  ].join('\n'),
  traffic: [
    {
      type: 'check',
      method: 'POST',
      path: '/v1/checks',
      perSecond: 10,
      models: ['receipt-00', 'receipt-01', 'receipt-02'],
      stream: true,
      once: true,
      tokens: 10,
      parts: 2,
    },
    {
      type: 'lookup',
      method: 'GET',
      path: '/v1/refunds',
      perSecond: 10,
      models: [],
      stream: false,
      once: false,
      tokens: 0,
      parts: 0,
    },
  ],
};

/** All deployments by name. */
export const DEPLOYMENTS: Readonly<Record<string, Deployment>> = {
  dakar: DAKAR,
  sofia: SOFIA,
  hamlet: HAMLET,
};
