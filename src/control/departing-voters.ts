import type { Moment } from '../common/ids.js';

/** A departing voter notifies the leader every 200 ms; one that no longer does has stopped or ended its wait. */
const DEPARTURE_TIMEOUT_MS = 1000;

/** The voters that have recently notified the leader of a planned stop. */
export class DepartingVoters {
  readonly #announcedAt = new Map<string, Moment>();

  /** The voter announced its planned stop. */
  onDeparture(now: Moment, id: string): void {
    this.#announcedAt.set(id, now);
  }

  /** Whether the voter announced a planned stop within the last second. */
  has(id: string): boolean {
    return this.#announcedAt.has(id);
  }

  /** Removes voters whose last announcement has expired. */
  tick(now: Moment): void {
    for (const [id, at] of this.#announcedAt)
      if (now - at > DEPARTURE_TIMEOUT_MS) this.#announcedAt.delete(id);
  }
}
