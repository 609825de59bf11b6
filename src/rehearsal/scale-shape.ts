import { boolean, number, string, type, type Infer } from 'superstruct';
import type { ListedRunner } from '../placement/fleet.js';
import type { EngineModel } from '../route/routing.js';
import type { RouteText, RoutingText } from './scale-dialect.js';

/** How large the fleet of one point of the scale run is. */
export const ScaleShapeShape = type({
  nodes: number(),
  runners: number(),
  models: number(),
  adapters: number(),
  routes: number(),
  zones: number(),
  controlNodes: number(),
});
export type ScaleShape = Infer<typeof ScaleShapeShape>;

/** Where one synthetic edge stands: its link for nodes, its feed for the proxy beside it. */
export const EdgePlaceShape = type({
  link: string(),
  feed: string(),
  zone: string(),
  isWatched: boolean(),
});
export type EdgePlace = Infer<typeof EdgePlaceShape>;

/** So many runners stand behind one service; a larger fleet has more services, not larger ones. */
const RUNNERS_A_SERVICE = 1000;
const HOLDS_A_RUNNER = 3;
const MODEL_MB = 65_000;
const ADAPTER_MB = 12;
export const LOAD_MS = 600;
export const ADAPTER_MS = 15;

export function zoneName(index: number): string {
  return `zone-${index}`;
}

export function serviceCount(shape: ScaleShape): number {
  return Math.max(1, Math.min(shape.models, Math.ceil(shape.runners / RUNNERS_A_SERVICE)));
}
export function serviceName(index: number): string {
  return `service-${index}`;
}

/** The last tenth of all models is held nowhere at first, so that there is something to load. */
export function heldModels(shape: ScaleShape): number {
  return Math.ceil(shape.models * 0.9);
}

/** Names as long as the deployments' own, since their bytes are what is counted. */
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

function makeRoute(shape: ScaleShape, index: number, timeoutMs: number): RouteText {
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

/** A whole configuration; from one version to the next, one route's time-out changes. */
export function routingText(shape: ScaleShape, version: number): string {
  const services: RoutingText['services'] = [];
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
        roomMb: MODEL_MB * HOLDS_A_RUNNER + 1000,
        adapterSlots: 8,
        loadsPerSecond: 7,
      },
    });
  }
  const routes: RouteText[] = [];
  for (let index = 0; index < shape.routes; index += 1)
    routes.push(makeRoute(shape, index, index === 0 ? 5000 + version : 5000));
  const routing: RoutingText = {
    version,
    routes,
    services,
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerWaitMs: 3000, idleMs: 15_000 },
  };
  return JSON.stringify(routing);
}

/** The runners as the platform lists them at first: full, each model of a service on as many as there is room for. */
export function listedRunners(shape: ScaleShape, address: string): ListedRunner[] {
  const services = serviceCount(shape);
  const models: number[][] = [];
  for (let index = 0; index < services; index += 1)
    models.push(modelsOf(shape, index, heldModels(shape)));
  const runners: ListedRunner[] = [];
  for (let index = 0; index < shape.runners; index += 1) {
    const own = models[index % services] ?? [];
    const first = Math.floor(index / services) * HOLDS_A_RUNNER;
    const held = new Set<number>();
    for (let step = 0; step < HOLDS_A_RUNNER; step += 1)
      held.add(own[(first + step) % own.length] ?? 0);
    const holds = [];
    // Some adapters are held as well: two a runner, as far as its models have any.
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
