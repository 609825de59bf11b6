import { later, type Moment } from '../common/ids.js';

/** How often updates are requested from another control node than that of the session. */
const CROSS_INTERVAL_MS = 700;
/** The same until a control node that the session moved to has replied: it may have failed as well. */
const MOVED_CROSS_INTERVAL_MS = 350;

/**
 * Which other control nodes updates are requested from, and when.
 *
 * The control node of the session and all parents may be partitioned from a majority without knowing it yet. What the
 * majority has committed since takes force here all the same once one of the others sends it.
 */
export class CrossRequests {
  #requestedAt: Moment;
  #index = 0;

  constructor(now: Moment) {
    this.#requestedAt = now;
  }

  /** Takes the nodes to request from now, of these; none until the interval has passed. */
  takeDue(now: Moment, others: readonly string[], isMoving: boolean): readonly string[] {
    const intervalMs = isMoving ? MOVED_CROSS_INTERVAL_MS : CROSS_INTERVAL_MS;
    if (now < later(this.#requestedAt, intervalMs)) return [];
    this.#requestedAt = now;
    // While the session moves nobody sends updates, so all are requested from.
    if (isMoving) return others;
    this.#index += 1;
    const other = others[this.#index % Math.max(1, others.length)];
    return other === undefined ? [] : [other];
  }
}
