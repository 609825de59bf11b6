import type { Route } from '../route/routing.js';

/** What a new time counts against those before. */
const NEW_SHARE = 0.1;

/** How long runners take to the first event of a stream, or to the answer, by route; new times count more than old ones. */
export class FirstEventTimes {
  readonly #usualMs = new Map<string, number>();

  /** A request of the route took so long. */
  note(route: Route, tookMs: number): void {
    const known = this.#usualMs.get(route.name) ?? tookMs;
    this.#usualMs.set(route.name, known * (1 - NEW_SHARE) + tookMs * NEW_SHARE);
  }

  /** How long it usually takes, ms; undefined where nothing is known yet. */
  usualMs(route: Route): number | undefined {
    return this.#usualMs.get(route.name);
  }
}
