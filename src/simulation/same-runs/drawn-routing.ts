import type { SeededRandom } from '../../rehearsal/seeded-random.js';
import type { Engine, EngineModel, Route, Routing, Service } from '../../route/routing.js';

/** The service whose engine serves many models. */
export const ENGINE_SERVICE = 'llm';
/** The service of plain runners, without models. */
export const PLAIN_SERVICE = 'web';
/** The host of all routes. */
export const HOST = 'h.example';
/** The zones of the runners. */
export const ZONES: readonly string[] = ['zone-a', 'zone-b', 'zone-c'];
/** Request paths, one or more for each route; the last one has no route. */
export const PATHS: readonly string[] = [
  '/stream/x',
  '/stream/x',
  '/once/x',
  '/fixed/x',
  '/safe/x',
  '/split/x',
  '/none/x',
];
/** The number of adapters of the engine's first model; the others have none. */
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

/** Returns the name of a model by its index. */
export function modelName(index: number): string {
  return `m${index}`;
}

/** Returns the name of an adapter of the first model by its index. */
export function adapterName(index: number): string {
  return `a${index}`;
}

function engineModel(index: number): EngineModel {
  const sizeMb = WEIGHTS_MB[index % WEIGHTS_MB.length] ?? 0;
  const adapters = index === 0 ? ADAPTERS : 0;
  return { name: modelName(index), sizeMb, loadMs: 600, adapters, adapterSizeMb: 66 };
}

function engineOf(random: SeededRandom, models: number): Engine {
  const engineModels: EngineModel[] = [];
  for (let index = 0; index < models; index += 1) engineModels.push(engineModel(index));
  return {
    slots: 32,
    cacheTokens: 200_000,
    models: engineModels,
    capacityMb: 150_000 + random.below(3) * 40_000,
    adapterSlots: 3 + random.below(6),
    loadsPerSecond: 1 + random.below(7),
  };
}

/** Draws a configuration with this version and `models` models. */
export function drawRouting(random: SeededRandom, version: number, models: number): Routing {
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
