import type { Route } from '../route/routing.js';

/** What a new time counts against those before. */
const SMOOTHING_FACTOR = 0.1;

/** How long runners take to the first event of a stream, or to the answer, by route; new times count more than old ones. */
export class FirstEventTimes {
  readonly #averageMs = new Map<string, number>();

  /** A request of the route took so long. */
  record(route: Route, tookMs: number): void {
    const known = this.#averageMs.get(route.name) ?? tookMs;
    this.#averageMs.set(route.name, known * (1 - SMOOTHING_FACTOR) + tookMs * SMOOTHING_FACTOR);
  }

  /** How long it usually takes, ms; undefined where nothing is known yet. */
  averageMs(route: Route): number | undefined {
    return this.#averageMs.get(route.name);
  }
}
