import { boolean, number, string, type, type Infer } from 'superstruct';
import type { ListedRunner } from '../placement/fleet.js';
import type { EngineModel } from '../route/routing.js';
import type { RouteDocument, RoutingDocument } from './scale-dialect.js';

/** Schema of `ScaleShape`. */
export const ScaleShapeShape = type({
  nodes: number(),
  runners: number(),
  models: number(),
  adapters: number(),
  routes: number(),
  zones: number(),
  controlNodes: number(),
});
/** Sizes of the fleet and its configuration in one point of the scale run. */
export type ScaleShape = Infer<typeof ScaleShapeShape>;

/** Schema of `ScaleEdge`. */
export const ScaleEdgeShape = type({
  link: string(),
  feed: string(),
  zone: string(),
  isWatched: boolean(),
});
/**
 * Addresses and zone of an edge: its agent listens at `link` for nodes and at `feed` for its proxy. A watched edge has a
 * real proxy, and its agent and proxy have processes of their own.
 */
export type ScaleEdge = Infer<typeof ScaleEdgeShape>;

/** Runners per service; a larger fleet has more services, not larger ones. */
const RUNNERS_PER_SERVICE = 1000;
const MODELS_PER_RUNNER = 3;
const MODEL_MB = 65_000;
const ADAPTER_MB = 12;
/** Time to load a model, ms. */
export const LOAD_MS = 600;
/** Time to load an adapter, ms. */
export const ADAPTER_MS = 15;

/** Returns the name of a zone. */
export function zoneName(index: number): string {
  return `zone-${index}`;
}

/** Returns the number of services, at least one and at most one per model. */
export function serviceCount(shape: ScaleShape): number {
  return Math.max(1, Math.min(shape.models, Math.ceil(shape.runners / RUNNERS_PER_SERVICE)));
}
/** Returns the name of a service. */
export function serviceName(index: number): string {
  return `service-${index}`;
}

/**
 * Returns the number of models that runners hold at the start. No runner holds the last tenth, so that there are models to
 * load.
 */
export function initialModelCount(shape: ScaleShape): number {
  return Math.ceil(shape.models * 0.9);
}

/** Returns the name of a model, which is as long as those of real deployments because its bytes are counted. */
export function modelName(index: number): string {
  return `model-${String(index).padStart(5, '0')}`;
}

function modelsOf(shape: ScaleShape, service: number, end: number = shape.models): number[] {
  const list: number[] = [];
  for (let index = service; index < end; index += serviceCount(shape)) list.push(index);
  return list;
}

function makeModel(shape: ScaleShape, index: number): EngineModel {
  return {
    name: modelName(index),
    sizeMb: MODEL_MB,
    loadMs: LOAD_MS,
    adapters: Math.round(shape.adapters / shape.models),
    adapterSizeMb: ADAPTER_MB,
  };
}

function makeRoute(shape: ScaleShape, index: number, timeoutMs: number): RouteDocument {
  return {
    name: `r-${String(index).padStart(5, '0')}`,
    host: `host-${index % 100}.example`,
    prefix: `/path-${index}/`,
    kind: 'stream',
    timeoutMs,
    targetMs: 500,
    gapTargetMs: 600,
    priority: index % 3,
    splits: [{ service: serviceName(index % serviceCount(shape)), weight: 1 }],
    tries: 2,
    isSticky: true,
    isResumable: true,
  };
}

/** Returns a whole configuration document; each version changes the timeout of one route. */
export function routingText(shape: ScaleShape, version: number): string {
  const services: RoutingDocument['services'] = [];
  for (let index = 0; index < serviceCount(shape); index += 1) {
    const models: EngineModel[] = [];
    for (const model of modelsOf(shape, index)) models.push(makeModel(shape, model));
    services.push({
      name: serviceName(index),
      healthPath: '/health',
      maxConnections: 370,
      warmupMs: 3000,
      warmupPerSecond: 31,
      engine: {
        slots: 64,
        cacheTokens: 225_298,
        models,
        roomMb: MODEL_MB * MODELS_PER_RUNNER + 1000,
        adapterSlots: 8,
        loadsPerSecond: 7,
      },
    });
  }
  const routes: RouteDocument[] = [];
  for (let index = 0; index < shape.routes; index += 1)
    routes.push(makeRoute(shape, index, index === 0 ? 5000 + version : 5000));
  const routing: RoutingDocument = {
    version,
    routes,
    services,
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerWaitMs: 3000, idleMs: 15_000 },
  };
  return JSON.stringify(routing);
}

/** Returns the runners as the platform lists them at the start: all are full, and share the models of their service evenly. */
export function listedRunners(shape: ScaleShape, address: string): ListedRunner[] {
  const services = serviceCount(shape);
  const models: number[][] = [];
  for (let index = 0; index < services; index += 1)
    models.push(modelsOf(shape, index, initialModelCount(shape)));
  const runners: ListedRunner[] = [];
  for (let index = 0; index < shape.runners; index += 1) {
    const serviceModels = models[index % services] ?? [];
    const first = Math.floor(index / services) * MODELS_PER_RUNNER;
    const held = new Set<number>();
    for (let step = 0; step < MODELS_PER_RUNNER; step += 1)
      held.add(serviceModels[(first + step) % serviceModels.length] ?? 0);
    const holds = [];
    // Each runner also holds two adapters, if the fleet has any.
    for (const model of held)
      holds.push({
        model: modelName(model),
        adapters: holds.length < 2 && shape.adapters > 0 ? [`a${1 + (index % 8)}`] : [],
      });
    runners.push({
      id: `i-${String(index).padStart(8, '0')}`,
      address,
      zone: zoneName(Math.floor(index / services) % shape.zones),
      service: serviceName(index % services),
      slots: 64,
      isLeaving: false,
      remainingMs: undefined,
      coldMs: 0,
      holds,
    });
  }
  return runners;
}
