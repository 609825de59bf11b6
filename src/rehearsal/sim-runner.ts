import type { Hold } from '../placement/shapes.js';
import type { SimBackend } from './sim-backend.js';

/** A simulated runner: what it holds, and which orders it took in this life. */
export interface SimRunner {
  readonly back: SimBackend;
  room: number;
  /** The room of before, which may still be counted on by whoever has not heard. */
  roomBefore: number;
  roomSince: number;
  bornAt: number;
  /** By model and adapter. */
  holds: Map<string, Hold>;
  taken: Set<string>;
}

/** Room has not changed for long. */
const LONG_AGO = -1e9;

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

/** The key of a model, or of an adapter of it where named. */
export function unitKey(model: string, adapter: string): string {
  return `${model}\n${adapter}`;
}

/** The name of the life of a runner that its orders must name. */
export function bootOf(runner: SimRunner): string {
  return `b${runner.back.boot}`;
}
