import type { Route } from '../route/routing.js';
import { DurationAverages } from './duration-averages.js';

/** Expected time of a route's responses before one was observed: a prompt of usual size on a runner with little load. */
const DEFAULT_RESPONSE_MS = 100;
/** The time after which a silent runner is unusual before a response was observed (RFC 6298, section 2.1). */
const DEFAULT_UNUSUAL_MS = 1000;
/** Deviations above the mean beyond which a time is unusual (RFC 6298, section 2.3). */
const UNUSUAL_DEVIATIONS = 4;

/**
 * How long runners take for the requests of a route, from the moment the request is written: to the first event of a
 * stream, and to the end of any other response, since that is what the client of each waits for.
 */
export class ResponseTimes {
  readonly #times = new DurationAverages();

  /** Records how long a request of the route took, ms. */
  record(route: Route, tookMs: number): void {
    this.#times.record(route.name, tookMs);
  }

  /** The mean of the route, ms; undefined before the first observation. */
  meanMs(route: Route): number | undefined {
    return this.#times.of(route.name)?.meanMs;
  }

  /** The time that a request of the route needs at a runner, ms: the mean and one mean deviation. */
  neededMs(route: Route): number {
    const average = this.#times.of(route.name);
    return average ? average.meanMs + average.deviationMs : DEFAULT_RESPONSE_MS;
  }

  /** The time after which a runner that has not responded is unusual for the route, ms. */
  unusualMs(route: Route): number {
    const average = this.#times.of(route.name);
    return average ? average.meanMs + average.deviationMs * UNUSUAL_DEVIATIONS : DEFAULT_UNUSUAL_MS;
  }
}
