import type { Moment } from '../common/ids.js';
import { Demand } from './demand.js';
import type { DemandReport, Share } from './shapes.js';

const DEMAND_TIME_CONSTANT_MS = 5000;
const PROXY_TTL_MS = 15_000;

/**
 * Divides a row's fleet-wide quota (`take`) among the proxies by their demand; the shares never add up to more than 1.
 */
export class QuotaShares {
  readonly #demand = new Demand(DEMAND_TIME_CONSTANT_MS);
  readonly #reportedAt = new Map<string, Moment>();
  readonly #reportedRows = new Set<string>();

  /** Records the demand that one proxy reported. */
  add(now: Moment, report: DemandReport): void {
    this.#reportedAt.set(report.flow, now);
    for (const { row, count } of report.rows) {
      this.#reportedRows.add(row);
      this.#demand.add(now, `${report.flow}\n${row}`, count);
    }
  }

  /** Requests per second under a row over the whole fleet. */
  rate(now: Moment, row: string): number {
    let sum = 0;
    for (const flow of this.#reportedAt.keys()) sum += this.#demand.rate(now, `${flow}\n${row}`);
    return sum;
  }

  /** Each proxy's share of each row's quota, 0 to 1; rows without reported demand or without a quota are left out. */
  allocate(now: Moment, rows: readonly { readonly key: string; readonly take: number }[]): Share[] {
    for (const [flow, at] of this.#reportedAt)
      if (now - at > PROXY_TTL_MS) this.#reportedAt.delete(flow);
    const count = this.#reportedAt.size;
    const shares: Share[] = [];
    for (const { key, take } of rows) {
      if (!this.#reportedRows.has(key) || take <= 0) continue;
      const demands = new Map<string, number>();
      let sum = 0;
      for (const flow of this.#reportedAt.keys()) {
        const rate = this.#demand.rate(now, `${flow}\n${key}`);
        demands.set(flow, rate);
        sum += rate;
      }
      for (const [flow, rate] of demands) {
        // Each gets its demand and an even part of the remainder; without a remainder, 90% is divided by demand and 10%
        // evenly.
        const share =
          sum < take ? (rate + (take - sum) / count) / take : (0.9 * rate) / sum + 0.1 / count;
        // A quarter of an even share, rounded down: small changes publish no update, and the sum stays at most 1.
        const step = 1 / (count * 4);
        shares.push({ flow, row: key, share: Math.floor(share / step + 1e-9) * step });
      }
    }
    return shares;
  }
}
