import { later, moment, type Moment } from '../common/ids.js';

const NEVER = moment(-1e12);
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
  #failures = 0;
  #suspectUntil: Moment = NEVER;

  /** It answered with a server error, or broke off. Failures while it is a suspect already are not counted. */
  onFailure(now: Moment): void {
    if (this.isSuspect(now)) return;
    this.#suspectUntil = later(now, Math.min(MAX_SUSPECT_MS, MIN_SUSPECT_MS * 2 ** this.#failures));
    this.#failures += 1;
  }

  /** It answered without an error. A runner that fails a part of its requests is not cleared by one that succeeds. */
  onSuccess(): void {
    this.#failures = Math.floor(this.#failures / 2);
  }

  /** Whether other runners are to be preferred. */
  isSuspect(now: Moment): boolean {
    return now < this.#suspectUntil;
  }
}
