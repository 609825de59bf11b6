import { later, moment, type Moment } from '../common/ids.js';

const NEVER = moment(-1e12);

/** A time after a failure that doubles with each further one, up to a maximum. */
export class FailureBackoff {
  readonly #minMs: number;
  readonly #maxMs: number;
  #failures = 0;
  #until: Moment = NEVER;

  constructor(minMs: number, maxMs: number) {
    this.#minMs = minMs;
    this.#maxMs = maxMs;
  }

  /** A failure; those that come while the time lasts are not counted. */
  onFailure(now: Moment): void {
    if (this.isActive(now)) return;
    this.#until = later(now, Math.min(this.#maxMs, this.#minMs * 2 ** this.#failures));
    this.#failures += 1;
  }

  /** Forgets the failures; a time that has begun lasts on. */
  reset(): void {
    this.#failures = 0;
  }

  /** Forgets half of the failures; a time that has begun lasts on. */
  halve(): void {
    this.#failures = Math.floor(this.#failures / 2);
  }

  /** Whether the time after the last failure lasts still. */
  isActive(now: Moment): boolean {
    return now < this.#until;
  }
}
