import { later, type Moment } from '../common/ids.js';
import { SlidingMaximum } from '../common/sliding-maximum.js';
import { PROXY_COUNT_RETENTION_MS } from '../placement/fleet.js';

/** After the start the count is settled once it has not grown for this long: agents that are up have joined within it. */
const SETTLING_MS = 1000;

/**
 * The number of proxies that share fleet-wide limits, as published by leaders. A new leader may not know all proxies yet,
 * so a smaller number takes effect only after a delay. The first numbers after the start are not reliable, see `isSettled`.
 */
export class PublishedProxyCount {
  readonly #recent = new SlidingMaximum(PROXY_COUNT_RETENTION_MS);
  /** When the count is settled; undefined before the first number. */
  #settledAt: Moment | undefined;

  /** A leader published this number. */
  set(now: Moment, count: number): void {
    const isGrowing = !this.isSettled(now) && count > this.#recent.value(now);
    if (this.#settledAt === undefined || isGrowing) this.#settledAt = later(now, SETTLING_MS);
    this.#recent.set(now, count);
  }

  /** The number of proxies by which to divide a limit, at least 1. */
  value(now: Moment): number {
    return Math.max(1, this.#recent.value(now));
  }

  /**
   * Whether all proxies can be expected to be counted. When many start at once they are not yet, and no former number is
   * known: until the count is settled, this proxy must not use its share of a limit that must not be exceeded.
   */
  isSettled(now: Moment): boolean {
    return this.#settledAt !== undefined && now >= this.#settledAt;
  }
}
