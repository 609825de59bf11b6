import type { Moment } from '../kin/Ids.js';
import { Demand } from './Demand.js';
import type { DemandReport, Share } from './Shapes.js';

const SPAN_MS = 5000;
const FORGET_MS = 15_000;

/** Shares a row's fleet-wide take out to the flows by their demand; together they never exceed the whole. */
export class Shares {
  readonly #demand = new Demand(SPAN_MS);
  readonly #flows = new Map<string, Moment>();
  readonly #rows = new Set<string>();

  add(now: Moment, report: DemandReport): void {
    this.#flows.set(report.flow, now);
    for (const { row, count } of report.rows) {
      this.#rows.add(row);
      this.#demand.add(now, `${report.flow}\n${row}`, count);
    }
  }

  list(now: Moment, rows: readonly string[]): Share[] {
    for (const [flow, at] of this.#flows) if (now - at > FORGET_MS) this.#flows.delete(flow);
    const shares: Share[] = [];
    for (const row of rows) {
      if (!this.#rows.has(row)) continue;
      let sum = 0;
      for (const flow of this.#flows.keys()) sum += this.#demand.rate(now, `${flow}\n${row}`);
      if (sum < 0.01) continue;
      for (const flow of this.#flows.keys()) {
        // A quarter is shared evenly, so that a flow that was idle has something to gate with until the next word.
        const share = 0.75 * (this.#demand.rate(now, `${flow}\n${row}`) / sum) + 0.25 / this.#flows.size;
        // Twentieths, rounded down: small changes are no news, and the sum stays within the whole.
        shares.push({ flow, row, share: Math.max(0.01, Math.floor(share * 20 + 1e-9) / 20) });
      }
    }
    return shares;
  }
}

if (import.meta.vitest) {
  const { test, expect } = import.meta.vitest;
  const { moment } = await import('../kin/Ids.js');
  function checkShares(): void {
    const shares = new Shares();
    shares.add(moment(0), { flow: 'a', units: [], rows: [{ row: 'r', count: 90 }] });
    shares.add(moment(0), { flow: 'b', units: [], rows: [{ row: 'r', count: 10 }] });
    const list = shares.list(moment(100), ['r', 'other']);
    expect(list).toEqual([{ flow: 'a', row: 'r', share: 0.8 }, { flow: 'b', row: 'r', share: 0.2 }]);
    shares.add(moment(60_000), { flow: 'b', units: [], rows: [{ row: 'r', count: 10 }] });
    expect(shares.list(moment(60_000), ['r'])).toEqual([{ flow: 'b', row: 'r', share: 1 }]);
  }
  test('a take is shared out by demand and never beyond the whole', checkShares);
}
