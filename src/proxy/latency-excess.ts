import { moment, type Moment } from '../common/ids.js';

/** How fast an observation loses its weight, ms: about as long as a runner's queue takes to change. */
const DECAY_MS = 2000;
/** What a new observation counts against those before, where it is lower; a higher one counts at once. */
const FALL_FACTOR = 0.3;

/**
 * How much slower a runner was of late than runners usually are for the same routes (a peak-sensitive moving average).
 * A proxy knows its own requests alone; queues that others filled show in the time that first events take.
 */
export class LatencyExcess {
  #valueMs = 0;
  #at: Moment = moment(0);

  /** A first event took so much longer than is usual for its route; negative where it came sooner. */
  record(now: Moment, excessMs: number): void {
    const known = this.valueMs(now);
    const next = excessMs > known ? excessMs : known + (excessMs - known) * FALL_FACTOR;
    this.#valueMs = Math.max(0, next);
    this.#at = now;
  }

  /** The excess now, ms; without observations it fades, so that the runner is tried again. */
  valueMs(now: Moment): number {
    return this.#valueMs * Math.exp(-(now - this.#at) / DECAY_MS);
  }
}
