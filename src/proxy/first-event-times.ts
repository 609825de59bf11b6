import type { Route } from '../route/routing.js';

/** Weight of a new observation in the average. */
const SMOOTHING_FACTOR = 0.1;

/**
 * How long runners take from the request to the first event of a stream, or to the response otherwise: an exponential moving
 * average for each route.
 */
export class FirstEventTimes {
  readonly #averageMs = new Map<string, number>();

  /** Records how long a request of the route took, ms. */
  record(route: Route, tookMs: number): void {
    const previousMs = this.#averageMs.get(route.name) ?? tookMs;
    this.#averageMs.set(
      route.name,
      previousMs * (1 - SMOOTHING_FACTOR) + tookMs * SMOOTHING_FACTOR,
    );
  }

  /** The average of the route, ms; undefined before the first observation. */
  averageMs(route: Route): number | undefined {
    return this.#averageMs.get(route.name);
  }
}
