import { later, type Moment } from '../common/ids.js';
import { SlidingMaximum } from '../common/sliding-maximum.js';
import { PROXY_COUNT_RETENTION_MS } from '../placement/fleet.js';

/** After a start the number counts as settled once it has not grown for this long: agents that are up have joined by then. */
const SETTLING_MS = 1000;

/**
 * The number of proxies that share limits over the whole fleet, as leaders publish it. A leader may not know all of them yet:
 * a smaller number counts only after a while, and the first ones only as far as `isSettled` says.
 */
export class PublishedProxyCount {
  readonly #recent = new SlidingMaximum(PROXY_COUNT_RETENTION_MS);
  /** From when on it is settled; undefined before the first number. */
  #settledAt: Moment | undefined;

  /** A leader published this number. */
  set(now: Moment, count: number): void {
    const isGrowing = !this.isSettled(now) && count > this.#recent.value(now);
    if (this.#settledAt === undefined || isGrowing) this.#settledAt = later(now, SETTLING_MS);
    this.#recent.set(now, count);
  }

  /** The number to divide by, at least 1. */
  value(now: Moment): number {
    return Math.max(1, this.#recent.value(now));
  }

  /**
   * Whether all proxies can be expected to be counted. After a start of many at once they are not, and nobody holds a former
   * number: until then this proxy takes no part of what must not be exceeded.
   */
  isSettled(now: Moment): boolean {
    return this.#settledAt !== undefined && now >= this.#settledAt;
  }
}
