import type { Moment } from '../common/ids.js';
import type { Fleet } from '../placement/fleet.js';

/** For how long no word on the fleet may have named a runner before its mark is forgotten, ms. */
const RETENTION_MS = 60_000;

/**
 * Runners that were told to leave, by a word on the fleet or past the leader. An id is one life and leaving is never taken
 * back, so a mark stays for as long as anybody may name the runner, also when a later word calls it ready.
 */
export class DrainingRunners {
  /** When each was marked, or was named last while it was. */
  readonly #lastListedAt = new Map<string, Moment>();

  has(id: string): boolean {
    return this.#lastListedAt.has(id);
  }

  add(now: Moment, ids: readonly string[]): void {
    for (const id of ids) this.#lastListedAt.set(id, now);
  }

  /** Takes what a whole fleet says of who leaves, and forgets those whom none has named for long. */
  update(now: Moment, fleet: Fleet): void {
    for (const { id, isLeaving } of fleet.runners)
      if (isLeaving || this.#lastListedAt.has(id)) this.#lastListedAt.set(id, now);
    for (const [id, at] of this.#lastListedAt)
      if (now - at > RETENTION_MS) this.#lastListedAt.delete(id);
  }
}
