import type { Moment } from '../common/ids.js';
import { rowKey, type Row } from '../policy/table.js';

interface Bucket {
  tokens: number;
  refilledAt: Moment;
}

/** The retry delay of a row with a rate of 0, which operators do not raise from one moment to the next, ms. */
const CLOSED_ROW_RETRY_MS = 60_000;
/** The retry delay where this proxy's share is 0, which lasts until the leader publishes new shares, ms. */
const NO_SHARE_RETRY_MS = 1000;
/** Requests arrive in bursts: a bucket holds the tokens of this many seconds, and MIN_BURST even where the share is small. */
const BURST_S = 2;
const MIN_BURST = 3;

/** Limits the request rate of each row of the table at this proxy, by one token bucket per row. */
export class PolicyRateLimits {
  readonly #buckets = new Map<string, Bucket>();

  /**
   * Takes a token for one request of a row. The row's rate over the whole fleet is `row.take` requests per second; `share`
   * is this proxy's part of it, from 0 to 1. Returns 0, or after how long the row allows another request, ms.
   */
  take(now: Moment, row: Row, share: number): number {
    const key = rowKey(row);
    const rate = row.take * share;
    const maxTokens = Math.max(MIN_BURST, rate * BURST_S);
    const bucket = this.#buckets.get(key) ?? { tokens: maxTokens, refilledAt: now };
    bucket.tokens = Math.min(maxTokens, bucket.tokens + (rate * (now - bucket.refilledAt)) / 1000);
    bucket.refilledAt = now;
    this.#buckets.set(key, bucket);
    if (row.take <= 0) return CLOSED_ROW_RETRY_MS;
    if (bucket.tokens < 1)
      return rate > 0 ? Math.max(1, ((1 - bucket.tokens) * 1000) / rate) : NO_SHARE_RETRY_MS;
    bucket.tokens -= 1;
    return 0;
  }
}
