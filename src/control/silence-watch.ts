import type { Moment } from '../common/ids.js';

/** Ticks come every 50 ms; a process that got none for so long stood still, or was kept from running. */
const STANDSTILL_MS = 400;

/**
 * How long others have been silent, as far as this process can tell. While it stood still itself it heard nobody, which
 * shows nothing of the others: their silence counts from the end of the last standstill.
 */
export class SilenceWatch {
  #tickedAt: Moment;
  #awakeSince: Moment;

  constructor(now: Moment) {
    this.#tickedAt = now;
    this.#awakeSince = now;
  }

  tick(now: Moment): void {
    if (now - this.#tickedAt > STANDSTILL_MS) this.#awakeSince = now;
    this.#tickedAt = now;
  }

  /** For one last heard at that moment; one that was never asked is not silent. */
  silentMs(now: Moment, heardAt: Moment | undefined): number {
    if (heardAt === undefined) return 0;
    return now - Math.max(heardAt, this.#awakeSince);
  }
}
