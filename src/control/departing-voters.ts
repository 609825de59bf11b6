import type { Moment } from '../common/ids.js';

/** A departing voter announces it five times a second; one that no longer does has stopped, or gave up. */
const DEPARTURE_TIMEOUT_MS = 1000;

/** Voters in a planned stop, as far as the leader has been notified. */
export class DepartingVoters {
  readonly #announcedAt = new Map<string, Moment>();

  /** The voter announced that it is to stop. */
  onDeparture(now: Moment, id: string): void {
    this.#announcedAt.set(id, now);
  }

  /** Whether the voter announced a planned stop within the last second. */
  has(id: string): boolean {
    return this.#announcedAt.has(id);
  }

  /** Forgets voters that no longer announce it. */
  tick(now: Moment): void {
    for (const [id, at] of this.#announcedAt)
      if (now - at > DEPARTURE_TIMEOUT_MS) this.#announcedAt.delete(id);
  }
}
