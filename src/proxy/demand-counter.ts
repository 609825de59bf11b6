/** Requests for a model, or for one of its adapters if named, since the last report. */
export interface ModelDemandCount {
  model: string;
  adapter: string;
  count: number;
}

/** Requests that matched a row of the policy table, since the last report. */
export interface RowDemandCount {
  row: string;
  count: number;
}

/** Counts the requests at a proxy by row and by model, between two reports to the leader. */
export class DemandCounter {
  #units = new Map<string, number>();
  #rows = new Map<string, number>();

  /** Counts a request that matched the row; a request to plain backends names no model. */
  count(row: string, model: string | undefined, adapter: string): void {
    add(this.#rows, row);
    if (model === undefined) return;
    add(this.#units, `${model}\n`);
    if (adapter !== '') add(this.#units, `${model}\n${adapter}`);
  }

  /** Returns the counts since the last call and resets them. */
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
