import type { Hold } from '../placement/shapes.js';
import type { SimBackend } from './sim-backend.js';

/** A simulated runner: the models that it holds, and the orders that it accepted since its last start. */
export interface SimRunner {
  readonly back: SimBackend;
  /** Capacity for models, in the unit of their sizes. */
  room: number;
  /** The previous capacity, on which a leader may still rely until it learns of the change. */
  roomBefore: number;
  roomSince: number;
  bornAt: number;
  /** Loaded models and adapters, by `unitKey`. */
  holds: Map<string, Hold>;
  /** Ids of accepted orders. */
  taken: Set<string>;
}

/** Initial value of `roomSince`: the capacity has not changed recently. */
const LONG_AGO = -1e9;

/** Creates an empty runner. */
export function newRunner(back: SimBackend, room: number, bornAt: number): SimRunner {
  return {
    back,
    room,
    roomBefore: room,
    roomSince: LONG_AGO,
    bornAt,
    holds: new Map(),
    taken: new Set(),
  };
}

/** The key of a model, or of one of its adapters unless `adapter` is empty. */
export function unitKey(model: string, adapter: string): string {
  return `${model}\n${adapter}`;
}

/** The boot id of a runner's current process, which orders to it must name. */
export function bootOf(runner: SimRunner): string {
  return `b${runner.back.boot}`;
}
