import type { Moment } from '../common/ids.js';
import type { Fleet } from '../placement/fleet.js';

/** How long a runner stays marked after the last fleet snapshot that listed it, ms. */
const RETENTION_MS = 60_000;

/**
 * Runners that are draining, as reported by a fleet snapshot or outside of them. A runner id stands for one run of the
 * runner's process, and draining is never revoked. So a runner stays marked for as long as a snapshot may list it, even if a
 * later snapshot calls it ready.
 */
export class DrainingRunners {
  /** When each marked runner was last listed by a snapshot or reported, by id. */
  readonly #lastListedAt = new Map<string, Moment>();

  /** Whether the runner is marked as draining. */
  has(id: string): boolean {
    return this.#lastListedAt.has(id);
  }

  /** Marks runners as draining. */
  add(now: Moment, ids: readonly string[]): void {
    for (const id of ids) this.#lastListedAt.set(id, now);
  }

  /** Marks the runners that a snapshot reports as draining, and forgets those that have not been listed for long. */
  update(now: Moment, fleet: Fleet): void {
    for (const { id, isLeaving } of fleet.runners)
      if (isLeaving || this.#lastListedAt.has(id)) this.#lastListedAt.set(id, now);
    for (const [id, at] of this.#lastListedAt)
      if (now - at > RETENTION_MS) this.#lastListedAt.delete(id);
  }
}
