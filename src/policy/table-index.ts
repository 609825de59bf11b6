import type { Mapping, Row, Table } from './table-shape.js';

interface Placed<T> {
  readonly order: number;
  readonly item: T;
}

/** Finds a name among exact names and prefixes ending in *, without walking them all. */
class Names<T> {
  readonly #exact = new Map<string, Placed<T>>();
  readonly #prefixes = new Map<string, Placed<T>>();
  #count = 0;

  /** The first under a name stays. */
  add(name: string, item: T): void {
    const list = name.endsWith('*') ? this.#prefixes : this.#exact;
    const key = name.endsWith('*') ? name.slice(0, -1) : name;
    if (!list.has(key)) list.set(key, { order: this.#count, item });
    this.#count += 1;
  }

  /** All that fit, the longest prefix last. */
  fitting(name: string): Placed<T>[] {
    const list: Placed<T>[] = [];
    for (let length = 0; length <= name.length; length += 1) {
      const found = this.#prefixes.get(name.slice(0, length));
      if (found) list.push(found);
    }
    const exact = this.#exact.get(name);
    if (exact) list.push(exact);
    return list;
  }
}

/** One table, read once for all requests: however many rows it has, drawing one costs no more than the name is long. */
export class TableIndex {
  readonly #mappings = new Map<string, Names<Mapping>>();
  readonly #rows = new Map<string, Names<Row>>();
  readonly #plain = new Map<string, Row>();
  readonly #firsts = new Map<string, Row>();
  /** Weights by model, over all types. */
  readonly #weights = new Names<Row>();
  readonly #heaviest = new Map<string, Row>();

  constructor(table: Table) {
    for (const mapping of table.mappings)
      namesOf(this.#mappings, mapping.method).add(mapping.path, mapping);
    for (const row of table.rows) {
      if (!this.#firsts.has(row.type)) this.#firsts.set(row.type, row);
      if (row.model.startsWith('@')) {
        // Whatever its type names goes there; rows behind it are never reached.
        if (!this.#plain.has(row.type)) this.#plain.set(row.type, row);
        continue;
      }
      if (!this.#plain.has(row.type)) namesOf(this.#rows, row.type).add(row.model, row);
      const heaviest = this.#heaviest.get(row.model);
      if (!heaviest || row.weight > heaviest.weight) this.#heaviest.set(row.model, row);
    }
    for (const row of this.#heaviest.values()) this.#weights.add(row.model, row);
  }

  /** The longest path is the most particular one, whatever the order of lines; a path in full goes before a prefix. */
  mapping(method: string, path: string): Mapping | undefined {
    const fitting = this.#mappings.get(method)?.fitting(path) ?? [];
    return fitting[fitting.length - 1]?.item;
  }

  /** The first row that fits, as the operator ordered them. */
  row(type: string, model: string): Row | undefined {
    let first: Placed<Row> | undefined;
    for (const placed of this.#rows.get(type)?.fitting(model) ?? [])
      if (!first || placed.order < first.order) first = placed;
    return first?.item ?? this.#plain.get(type);
  }

  firstOf(type: string): Row | undefined {
    return this.#firsts.get(type);
  }

  /** The most that any row gives a model; 0 if none wants it. */
  weight(model: string): number {
    let most = 0;
    for (const { item } of this.#weights.fitting(model)) most = Math.max(most, item.weight);
    return most;
  }
}

function namesOf<T>(map: Map<string, Names<T>>, key: string): Names<T> {
  const names = map.get(key) ?? new Names<T>();
  map.set(key, names);
  return names;
}

const INDEXES = new WeakMap<Table, TableIndex>();

/** Made once for each table, since tables are never changed in place. */
export function indexOf(table: Table): TableIndex {
  const known = INDEXES.get(table);
  if (known) return known;
  const index = new TableIndex(table);
  INDEXES.set(table, index);
  return index;
}
