import type { Moment } from '../common/ids.js';
import type { Fleet } from '../placement/fleet.js';

/** For how long no word on the fleet may have named a runner before its mark is forgotten, ms. */
const FORGOTTEN_MS = 60_000;

/**
 * Runners that were told to leave, by a word on the fleet or past the leader. An id is one life and leaving is never taken
 * back, so a mark stays for as long as anybody may name the runner, also when a later word calls it ready.
 */
export class LeavingMarks {
  /** When each was marked, or was named last while it was. */
  readonly #namedAt = new Map<string, Moment>();

  has(id: string): boolean {
    return this.#namedAt.has(id);
  }

  add(now: Moment, ids: readonly string[]): void {
    for (const id of ids) this.#namedAt.set(id, now);
  }

  /** Takes what a whole fleet says of who leaves, and forgets those whom none has named for long. */
  follow(now: Moment, fleet: Fleet): void {
    for (const { id, isLeaving } of fleet.runners)
      if (isLeaving || this.#namedAt.has(id)) this.#namedAt.set(id, now);
    for (const [id, at] of this.#namedAt) if (now - at > FORGOTTEN_MS) this.#namedAt.delete(id);
  }
}
