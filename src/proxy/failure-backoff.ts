import { later, moment, type Moment } from '../common/ids.js';

const NEVER = moment(-1e12);

/** Exponential backoff: active for a time after a failure, which doubles with each further failure up to a maximum. */
export class FailureBackoff {
  readonly #minMs: number;
  readonly #maxMs: number;
  #failures = 0;
  #activeUntil: Moment = NEVER;

  /** `minMs`: duration after the first failure. `maxMs`: maximum duration. */
  constructor(minMs: number, maxMs: number) {
    this.#minMs = minMs;
    this.#maxMs = maxMs;
  }

  /** Records a failure and starts the backoff. Failures while it is active are not counted. */
  onFailure(now: Moment): void {
    if (this.isActive(now)) return;
    this.#activeUntil = later(now, Math.min(this.#maxMs, this.#minMs * 2 ** this.#failures));
    this.#failures += 1;
  }

  /** Resets the number of failures; an active backoff continues. */
  reset(): void {
    this.#failures = 0;
  }

  /** Halves the number of failures; an active backoff continues. */
  halve(): void {
    this.#failures = Math.floor(this.#failures / 2);
  }

  /** Whether the backoff after the last failure is still active. */
  isActive(now: Moment): boolean {
    return now < this.#activeUntil;
  }

  /** How much longer the backoff is active, ms; 0 if it is not. */
  leftMs(now: Moment): number {
    return Math.max(0, this.#activeUntil - now);
  }
}
