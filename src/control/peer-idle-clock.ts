import type { Moment } from '../common/ids.js';

/** Ticks come every 50 ms; a longer gap means that this process was not scheduled or its event loop was blocked. */
const EVENT_LOOP_STALL_MS = 400;

/**
 * Measures how long peers have been idle. A stalled process receives nothing, so the silence of its peers during a stall
 * means nothing: their idle time counts from the end of the last stall.
 */
export class PeerIdleClock {
  #tickedAt: Moment;
  #runningSince: Moment;

  constructor(now: Moment) {
    this.#tickedAt = now;
    this.#runningSince = now;
  }

  /** Detects a stall by the time since the previous tick. */
  tick(now: Moment): void {
    if (now - this.#tickedAt > EVENT_LOOP_STALL_MS) this.#runningSince = now;
    this.#tickedAt = now;
  }

  /**
   * Milliseconds since the peer was last heard, counted from the end of the last stall at the earliest; 0 for a peer that was
   * never pinged.
   */
  idleMs(now: Moment, heardAt: Moment | undefined): number {
    if (heardAt === undefined) return 0;
    return now - Math.max(heardAt, this.#runningSince);
  }
}
