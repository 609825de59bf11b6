import type { Moment } from '../common/ids.js';
import { FailureBackoff } from './failure-backoff.js';

/**
 * How long a runner is avoided after a failure; doubles with each further one. In a large fleet a proxy sends a runner only
 * one request every second or two, so a shorter time would end before the next request.
 */
const MIN_SUSPECT_MS = 4000;
const MAX_SUSPECT_MS = 16_000;

/**
 * Detects a runner that responds with errors although its health checks pass. A suspect is avoided but not excluded: it is
 * still used if no other runner has the model, so a false positive costs little.
 */
export class OutlierDetection {
  readonly #backoff = new FailureBackoff(MIN_SUSPECT_MS, MAX_SUSPECT_MS);

  /** The runner responded with a server error, or closed the connection early. Not counted while it is a suspect. */
  onFailure(now: Moment): void {
    this.#backoff.onFailure(now);
  }

  /** The runner responded without an error. One success does not clear a runner that fails some of its requests. */
  onSuccess(): void {
    this.#backoff.halve();
  }

  /** Whether other runners are preferred to it. */
  isSuspect(now: Moment): boolean {
    return this.#backoff.isActive(now);
  }
}
