import type { Moment } from '../common/ids.js';

/** Ticks come every 50 ms; a process that got none for so long stood still, or was kept from running. */
const EVENT_LOOP_STALL_MS = 400;

/**
 * How long others have been silent, as far as this process can tell. While it stood still itself it heard nobody, which
 * shows nothing of the others: their silence counts from the end of the last standstill.
 */
export class PeerIdleClock {
  #tickedAt: Moment;
  #awakeSince: Moment;

  constructor(now: Moment) {
    this.#tickedAt = now;
    this.#awakeSince = now;
  }

  tick(now: Moment): void {
    if (now - this.#tickedAt > EVENT_LOOP_STALL_MS) this.#awakeSince = now;
    this.#tickedAt = now;
  }

  /** For one last heard at that moment; one that was never asked is not silent. */
  idleMs(now: Moment, heardAt: Moment | undefined): number {
    if (heardAt === undefined) return 0;
    return now - Math.max(heardAt, this.#awakeSince);
  }
}
