/** Durations of disk writes as cumulative sums; averages come from the difference of two readings. */

/** A write that takes longer than this delays elections and acknowledgements. */
export const SLOW_WRITE_MS = 500;

const MS_PER_SECOND = 1000;

/** Writes since the start of this process. Durations are in milliseconds. */
export interface WriteFigures {
  readonly done: number;
  readonly failed: number;
  /** Ended writes, done or failed, that took longer than `SLOW_WRITE_MS`. */
  readonly slow: number;
  /** Total duration of all ended writes. */
  readonly totalMs: number;
  readonly underWay: number;
  /** How long the oldest write has been under way; 0 if there is none. It is the first figure to show a hung disk. */
  readonly oldestMs: number;
}

/** Measures writes from their start until they are synced to the disk. */
export class WriteLatency {
  /** When each write under way started, in the order of their start. */
  readonly #startTimes = new Map<number, number>();
  #lastId = 0;
  #done = 0;
  #failed = 0;
  #slow = 0;
  #totalMs = 0;

  /** Records the start of a write; returns the id to pass to `end`. */
  begin(now: number): number {
    this.#lastId += 1;
    this.#startTimes.set(this.#lastId, now);
    return this.#lastId;
  }

  /** Records the end of a write; a write that has already ended is ignored. */
  end(id: number, now: number, outcome: 'done' | 'failed'): void {
    const startedAt = this.#startTimes.get(id);
    if (startedAt === undefined) return;
    this.#startTimes.delete(id);
    const elapsedMs = now - startedAt;
    this.#totalMs += elapsedMs;
    if (outcome === 'done') this.#done += 1;
    else this.#failed += 1;
    if (elapsedMs > SLOW_WRITE_MS) this.#slow += 1;
  }

  /** The figures at the time `now`. */
  figures(now: number): WriteFigures {
    const [oldest] = this.#startTimes.values();
    return {
      done: this.#done,
      failed: this.#failed,
      slow: this.#slow,
      totalMs: this.#totalMs,
      underWay: this.#startTimes.size,
      oldestMs: oldest === undefined ? 0 : now - oldest,
    };
  }
}

/** Converts milliseconds to seconds, the base unit of time in Prometheus metrics. */
export function secondsOf(millis: number): number {
  return millis / MS_PER_SECOND;
}
