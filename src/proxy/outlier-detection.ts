import type { Moment } from '../common/ids.js';
import { FailureBackoff } from './failure-backoff.js';

/**
 * How long a runner is avoided after an error response; doubled by each further one. A proxy of a large fleet sends a
 * runner a request every second or two: a shorter time would end before the next request.
 */
const MIN_SUSPECT_MS = 4000;
const MAX_SUSPECT_MS = 16_000;

/**
 * Suspicion of a runner that answers with errors though its health checks pass. A suspect is avoided, not excluded: it is
 * still used where no other runner has the model, so a wrong suspicion costs little.
 */
export class OutlierDetection {
  readonly #backoff = new FailureBackoff(MIN_SUSPECT_MS, MAX_SUSPECT_MS);

  /** It answered with a server error, or broke off. Failures while it is a suspect already are not counted. */
  onFailure(now: Moment): void {
    this.#backoff.onFailure(now);
  }

  /** It answered without an error. A runner that fails a part of its requests is not cleared by one that succeeds. */
  onSuccess(): void {
    this.#backoff.halve();
  }

  /** Whether other runners are to be preferred. */
  isSuspect(now: Moment): boolean {
    return this.#backoff.isActive(now);
  }
}
