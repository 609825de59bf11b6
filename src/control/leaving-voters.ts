import type { Moment } from '../common/ids.js';

/** A voter that leaves says so five times a second; one that no longer does has stopped, or gave up. */
const LEAVING_MS = 1000;

/** Who is told to stop, as the leader hears it. */
export class LeavingVoters {
  readonly #toldAt = new Map<string, Moment>();

  add(now: Moment, id: string): void {
    this.#toldAt.set(id, now);
  }

  has(id: string): boolean {
    return this.#toldAt.has(id);
  }

  tick(now: Moment): void {
    for (const [id, at] of this.#toldAt) if (now - at > LEAVING_MS) this.#toldAt.delete(id);
  }
}
