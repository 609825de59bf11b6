import type { Seeded } from '../../rehearsal/seeded.js';
import type { Engine, EngineModel, Route, Routing, Service } from '../../route/routing.js';

/** The service with an engine of many models, and the one of plain runners. */
export const ENGINE_SERVICE = 'llm';
export const PLAIN_SERVICE = 'web';
export const HOST = 'h.example';
export const ZONES: readonly string[] = ['zone-a', 'zone-b', 'zone-c'];
/** Paths of requests by route; nobody has a route for the last. */
export const PATHS: readonly string[] = [
  '/stream/x',
  '/stream/x',
  '/once/x',
  '/fixed/x',
  '/safe/x',
  '/split/x',
  '/none/x',
];
/** The first model of the engine has this many adapters, the others none. */
export const ADAPTERS = 12;

const WEIGHTS_MB: readonly number[] = [72_700, 65_100, 31_000];
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_000_000,
  headerWaitMs: 5000,
  idleMs: 5000,
};

const STREAM: Route = {
  name: 'stream',
  host: HOST,
  prefix: '/stream/',
  kind: 'stream',
  timeoutMs: 5000,
  latencyTargetMs: 500,
  gapTargetMs: 600,
  priority: 2,
  splits: [{ service: ENGINE_SERVICE, weight: 1 }],
  maxAttempts: 3,
  isSticky: true,
  isResumable: true,
};
const ROUTES: readonly Route[] = [
  STREAM,
  { ...STREAM, name: 'once', prefix: '/once/', kind: 'unsafe', priority: 0, isResumable: false },
  {
    ...STREAM,
    name: 'fixed',
    prefix: '/fixed/',
    timeoutMs: 1500,
    isResumable: false,
    maxAttempts: 2,
  },
  {
    ...STREAM,
    name: 'safe',
    prefix: '/safe/',
    kind: 'safe',
    timeoutMs: 1200,
    priority: 12,
    splits: [{ service: PLAIN_SERVICE, weight: 1 }],
  },
  {
    ...STREAM,
    name: 'split',
    prefix: '/split/',
    priority: 5,
    splits: [
      { service: ENGINE_SERVICE, weight: 3 },
      { service: PLAIN_SERVICE, weight: 1 },
    ],
  },
];

/** The name of a model by its place. */
export function modelName(place: number): string {
  return `m${place}`;
}

/** The name of an adapter of the first model by its place. */
export function adapterName(place: number): string {
  return `a${place}`;
}

function engineModel(place: number): EngineModel {
  const sizeMb = WEIGHTS_MB[place % WEIGHTS_MB.length] ?? 0;
  const adapters = place === 0 ? ADAPTERS : 0;
  return { name: modelName(place), sizeMb, loadMs: 600, adapters, adapterSizeMb: 66 };
}

function engineOf(random: Seeded, models: number): Engine {
  const list: EngineModel[] = [];
  for (let place = 0; place < models; place += 1) list.push(engineModel(place));
  return {
    slots: 32,
    cacheTokens: 200_000,
    models: list,
    capacityMb: 150_000 + random.below(3) * 40_000,
    adapterSlots: 3 + random.below(6),
    loadsPerSecond: 1 + random.below(7),
  };
}

/** A configuration with so many models; its version differs from the last one's. */
export function drawRouting(random: Seeded, version: number, models: number): Routing {
  const service: Service = {
    name: ENGINE_SERVICE,
    healthPath: '/health',
    maxConnections: 20 + random.below(100),
    warmupMs: 3000,
    warmupPerSecond: 1 + random.below(12),
    engine: engineOf(random, models),
  };
  const plain = { ...service, name: PLAIN_SERVICE, engine: undefined };
  return { version, routes: ROUTES, services: [service, plain], limits: LIMITS };
}
