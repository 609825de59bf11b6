import { moment, type Moment } from '../common/ids.js';

/** Time constant of the exponential decay, ms: about as long as a runner's queue takes to change. */
const DECAY_MS = 2000;
/** Weight of a new observation that is lower than the current value; a higher one replaces the value. */
const FALL_FACTOR = 0.3;

/**
 * How much slower than usual for their routes the recent first events of a runner were (peak-sensitive moving average).
 * A proxy knows only its own requests; queues that other proxies have filled show in the time to the first event.
 */
export class LatencyExcess {
  #valueMs = 0;
  #recordedAt: Moment = moment(0);

  /** Records by how much a first event exceeded the usual time of its route, ms; negative if it was faster. */
  record(now: Moment, excessMs: number): void {
    const currentMs = this.valueMs(now);
    const nextMs =
      excessMs > currentMs ? excessMs : currentMs + (excessMs - currentMs) * FALL_FACTOR;
    this.#valueMs = Math.max(0, nextMs);
    this.#recordedAt = now;
  }

  /** The current excess, ms. It decays without observations, so that the runner is tried again. */
  valueMs(now: Moment): number {
    return this.#valueMs * Math.exp(-(now - this.#recordedAt) / DECAY_MS);
  }
}
