/** Requests for a model, or for an adapter of it where named, since last told. */
export interface ModelDemandCount {
  model: string;
  adapter: string;
  count: number;
}

/** Requests of a row since last told. */
export interface RowDemandCount {
  row: string;
  count: number;
}

/** What was asked for at a proxy since it last told the leader. */
export class DemandCounter {
  #units = new Map<string, number>();
  #rows = new Map<string, number>();

  /** Counts one request of a row; a request to plain back ends names no model. */
  count(row: string, model: string | undefined, adapter: string): void {
    add(this.#rows, row);
    if (model === undefined) return;
    add(this.#units, `${model}\n`);
    if (adapter !== '') add(this.#units, `${model}\n${adapter}`);
  }

  /** Hands over what was counted, and begins anew. */
  take(): { units: ModelDemandCount[]; rows: RowDemandCount[] } {
    const units = [];
    for (const [unit, count] of this.#units) {
      const [model = '', adapter = ''] = unit.split('\n');
      units.push({ model, adapter, count });
    }
    const rows = [];
    for (const [row, count] of this.#rows) rows.push({ row, count });
    this.#units = new Map();
    this.#rows = new Map();
    return { units, rows };
  }
}

function add(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
