import type { Moment } from '../common/ids.js';
import { Demand } from './demand.js';
import type { DemandReport, Share } from './shapes.js';

const SPAN_MS = 5000;
const FORGET_MS = 15_000;

/** Shares a row's fleet-wide take out to the proxies by their demand; together they never exceed the whole. */
export class QuotaShares {
  readonly #demand = new Demand(SPAN_MS);
  readonly #proxies = new Map<string, Moment>();
  readonly #policyRows = new Set<string>();

  /** What one proxy saw asked for. */
  add(now: Moment, report: DemandReport): void {
    this.#proxies.set(report.flow, now);
    for (const { row, count } of report.rows) {
      this.#policyRows.add(row);
      this.#demand.add(now, `${report.flow}\n${row}`, count);
    }
  }

  /** What is asked for under a row, a second, over the whole fleet. */
  rate(now: Moment, row: string): number {
    let sum = 0;
    for (const flow of this.#proxies.keys()) sum += this.#demand.rate(now, `${flow}\n${row}`);
    return sum;
  }

  /** Each proxy's share of each row's take, 0 to 1. */
  list(now: Moment, rows: readonly { readonly key: string; readonly take: number }[]): Share[] {
    for (const [flow, at] of this.#proxies) if (now - at > FORGET_MS) this.#proxies.delete(flow);
    const count = this.#proxies.size;
    const shares: Share[] = [];
    for (const { key, take } of rows) {
      if (!this.#policyRows.has(key) || take <= 0) continue;
      const demands = new Map<string, number>();
      let sum = 0;
      for (const flow of this.#proxies.keys()) {
        const rate = this.#demand.rate(now, `${flow}\n${key}`);
        demands.set(flow, rate);
        sum += rate;
      }
      for (const [flow, rate] of demands) {
        // Each gets what it is asked for and an even part of what is left; when nothing is left, mostly by demand.
        const share =
          sum < take ? (rate + (take - sum) / count) / take : (0.9 * rate) / sum + 0.1 / count;
        // Twentieths of an even share, rounded down: small changes are no news, and the sum stays within the whole.
        const step = 1 / (count * 4);
        shares.push({ flow, row: key, share: Math.floor(share / step + 1e-9) * step });
      }
    }
    return shares;
  }
}
