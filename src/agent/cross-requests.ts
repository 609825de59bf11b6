import { later, type Moment } from '../common/ids.js';

/** Interval at which updates are requested from a control node other than that of the session. */
const CROSS_INTERVAL_MS = 700;
/** The interval until a control node that the session moved to has replied: that one may have failed as well. */
const MOVED_CROSS_INTERVAL_MS = 350;

/**
 * Decides which other control nodes updates are requested from, and when.
 *
 * The control node of the session and all parents may be partitioned from a majority and not have noticed yet. Requests to
 * the other control nodes bring the agent what the majority has committed since.
 */
export class CrossRequests {
  #requestedAt: Moment;
  #index = 0;

  constructor(now: Moment) {
    this.#requestedAt = now;
  }

  /** Returns those of `others` to request from now; none until the interval has passed. */
  takeDue(now: Moment, others: readonly string[], isMoving: boolean): readonly string[] {
    const intervalMs = isMoving ? MOVED_CROSS_INTERVAL_MS : CROSS_INTERVAL_MS;
    if (now < later(this.#requestedAt, intervalMs)) return [];
    this.#requestedAt = now;
    // While the session moves, no control node sends updates, so they are requested from all.
    if (isMoving) return others;
    this.#index += 1;
    const other = others[this.#index % Math.max(1, others.length)];
    return other === undefined ? [] : [other];
  }
}
