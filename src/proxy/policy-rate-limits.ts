import type { Moment } from '../common/ids.js';
import { rowKey, type Row } from '../policy/table.js';

interface Bucket {
  tokens: number;
  at: Moment;
}

/** A row that takes nothing is not opened from one moment to the next, ms. */
const CLOSED_ROW_RETRY_MS = 60_000;
/** A share of nothing lasts until the next word on shares, ms. */
const NO_SHARE_RETRY_MS = 1000;
/** Callers come in bursts: so many seconds' worth may come at once, and so many even where the share is small. */
const BURST_S = 2;
const MIN_BURST = 3;

/** How much each row of the table takes at this proxy, as a token bucket a row. */
export class PolicyRateLimits {
  readonly #buckets = new Map<string, Bucket>();

  /**
   * Takes one request of a row whose fleet-wide rate is `row.take` a second, of which this proxy has a share.
   * Returns 0, or how long until the row allows one more, ms.
   */
  take(now: Moment, row: Row, share: number): number {
    const key = rowKey(row);
    const rate = row.take * share;
    const most = Math.max(MIN_BURST, rate * BURST_S);
    const bucket = this.#buckets.get(key) ?? { tokens: most, at: now };
    bucket.tokens = Math.min(most, bucket.tokens + (rate * (now - bucket.at)) / 1000);
    bucket.at = now;
    this.#buckets.set(key, bucket);
    if (row.take <= 0) return CLOSED_ROW_RETRY_MS;
    if (bucket.tokens < 1)
      return rate > 0 ? Math.max(1, ((1 - bucket.tokens) * 1000) / rate) : NO_SHARE_RETRY_MS;
    bucket.tokens -= 1;
    return 0;
  }
}
