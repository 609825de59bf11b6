import type { Moment } from '../common/ids.js';

/** A voter that leaves says so five times a second; one that no longer does has stopped, or gave up. */
const DEPARTURE_TIMEOUT_MS = 1000;

/** Who is told to stop, as the leader hears it. */
export class DepartingVoters {
  readonly #announcedAt = new Map<string, Moment>();

  add(now: Moment, id: string): void {
    this.#announcedAt.set(id, now);
  }

  has(id: string): boolean {
    return this.#announcedAt.has(id);
  }

  tick(now: Moment): void {
    for (const [id, at] of this.#announcedAt)
      if (now - at > DEPARTURE_TIMEOUT_MS) this.#announcedAt.delete(id);
  }
}
