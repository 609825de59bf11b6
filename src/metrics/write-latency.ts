/** How long writes to the disk take, as sums that only grow; averages come from differences of two looks. */

/** A write that takes longer than this holds up elections and acknowledgements. */
export const SLOW_WRITE_MS = 500;

const MS_PER_SECOND = 1000;

/** Writes since the start of this process. Durations are in milliseconds. */
export interface WriteFigures {
  readonly done: number;
  readonly failed: number;
  /** Of those that ended, done or failed: the ones that took longer than `SLOW_WRITE_MS`. */
  readonly slow: number;
  /** Time that all ended writes took together. */
  readonly totalMs: number;
  readonly underWay: number;
  /** For how long the oldest write has been under way; 0 where there is none. A disk that hangs shows here first. */
  readonly oldestMs: number;
}

/** Measures writes from when they were handed to the disk until they are synced. */
export class WriteLatency {
  /** When each write under way began, in the order of their beginnings. */
  readonly #began = new Map<number, number>();
  #lastId = 0;
  #done = 0;
  #failed = 0;
  #slow = 0;
  #totalMs = 0;

  /** A write was handed to the disk; returns the id to end it by. */
  begin(now: number): number {
    this.#lastId += 1;
    this.#began.set(this.#lastId, now);
    return this.#lastId;
  }

  /** That write has ended. */
  end(id: number, now: number, outcome: 'done' | 'failed'): void {
    const began = this.#began.get(id);
    if (began === undefined) return;
    this.#began.delete(id);
    const elapsedMs = now - began;
    this.#totalMs += elapsedMs;
    if (outcome === 'done') this.#done += 1;
    else this.#failed += 1;
    if (elapsedMs > SLOW_WRITE_MS) this.#slow += 1;
  }

  figures(now: number): WriteFigures {
    const [oldest] = this.#began.values();
    return {
      done: this.#done,
      failed: this.#failed,
      slow: this.#slow,
      totalMs: this.#totalMs,
      underWay: this.#began.size,
      oldestMs: oldest === undefined ? 0 : now - oldest,
    };
  }
}

/** Metrics are told in seconds, as is usual there. */
export function secondsOf(millis: number): number {
  return millis / MS_PER_SECOND;
}
