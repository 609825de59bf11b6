/** Builds configurations and runner list entries for the planner's tests. */
import type { Engine, Routing } from '../../route/routing.js';
import type { ListedRunner } from '../fleet.js';

/** A configuration of one service with the given engine. */
export function routingOf(engine: Engine): Routing {
  return {
    version: 1,
    routes: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerWaitMs: 1, idleMs: 1 },
    services: [
      {
        name: 'llm',
        healthPath: '/',
        maxConnections: 100,
        warmupMs: 0,
        warmupPerSecond: 0,
        engine,
      },
    ],
  };
}

/** A runner's entry in the list. */
export function listedOf(id: string, zone: string, holds: ListedRunner['holds']): ListedRunner {
  return {
    id,
    address: '10.0.0.1:1',
    zone,
    service: 'llm',
    slots: 32,
    isLeaving: false,
    remainingMs: undefined,
    coldMs: 0,
    holds,
  };
}
