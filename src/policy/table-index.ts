import type { Mapping, Row, Table } from './table-shape.js';

interface Ordered<T> {
  readonly order: number;
  readonly item: T;
}

/** Looks up a name among exact names and prefixes that end in *, without a scan of all of them. */
class PatternMap<T> {
  readonly #exact = new Map<string, Ordered<T>>();
  readonly #prefixes = new Map<string, Ordered<T>>();
  #count = 0;

  /** Adds an item; the first item of a name takes precedence. */
  add(name: string, item: T): void {
    const list = name.endsWith('*') ? this.#prefixes : this.#exact;
    const key = name.endsWith('*') ? name.slice(0, -1) : name;
    if (!list.has(key)) list.set(key, { order: this.#count, item });
    this.#count += 1;
  }

  /** All items that match the name, from the shortest prefix to the longest, an exact match last. */
  matching(name: string): Ordered<T>[] {
    const list: Ordered<T>[] = [];
    for (let length = 0; length <= name.length; length += 1) {
      const found = this.#prefixes.get(name.slice(0, length));
      if (found) list.push(found);
    }
    const exact = this.#exact.get(name);
    if (exact) list.push(exact);
    return list;
  }
}

/** An index of a table. The cost of a lookup grows with the length of the name, not with the number of rows. */
export class TableIndex {
  readonly #mappings = new Map<string, PatternMap<Mapping>>();
  readonly #rows = new Map<string, PatternMap<Row>>();
  readonly #plainRows = new Map<string, Row>();
  readonly #firstRows = new Map<string, Row>();
  /** Weights by model, over all types. */
  readonly #weights = new PatternMap<Row>();
  readonly #heaviest = new Map<string, Row>();

  constructor(table: Table) {
    for (const mapping of table.mappings)
      patternMapOf(this.#mappings, mapping.method).add(mapping.path, mapping);
    for (const row of table.rows) {
      if (!this.#firstRows.has(row.type)) this.#firstRows.set(row.type, row);
      if (row.model.startsWith('@')) {
        // A row of plain back ends serves all models of its type, so later rows of the type are never used.
        if (!this.#plainRows.has(row.type)) this.#plainRows.set(row.type, row);
        continue;
      }
      if (!this.#plainRows.has(row.type)) patternMapOf(this.#rows, row.type).add(row.model, row);
      const heaviest = this.#heaviest.get(row.model);
      if (!heaviest || row.weight > heaviest.weight) this.#heaviest.set(row.model, row);
    }
    for (const row of this.#heaviest.values()) this.#weights.add(row.model, row);
  }

  /** The mapping with the longest matching path, whatever their order; an exact path takes precedence over a prefix. */
  mapping(method: string, path: string): Mapping | undefined {
    const matches = this.#mappings.get(method)?.matching(path) ?? [];
    return matches[matches.length - 1]?.item;
  }

  /** The first matching row, in the order of the table. */
  row(type: string, model: string): Row | undefined {
    let first: Ordered<Row> | undefined;
    for (const match of this.#rows.get(type)?.matching(model) ?? [])
      if (!first || match.order < first.order) first = match;
    return first?.item ?? this.#plainRows.get(type);
  }

  /** The first row of a type. */
  firstRowOf(type: string): Row | undefined {
    return this.#firstRows.get(type);
  }

  /** The maximum weight of all rows that match a model; 0 if there is none. */
  weight(model: string): number {
    let maxWeight = 0;
    for (const { item } of this.#weights.matching(model))
      maxWeight = Math.max(maxWeight, item.weight);
    return maxWeight;
  }
}

function patternMapOf<T>(map: Map<string, PatternMap<T>>, key: string): PatternMap<T> {
  const patternMap = map.get(key) ?? new PatternMap<T>();
  map.set(key, patternMap);
  return patternMap;
}

const INDEXES = new WeakMap<Table, TableIndex>();

/** The index of a table. It is cached for each table object, since tables are immutable. */
export function tableIndexOf(table: Table): TableIndex {
  const known = INDEXES.get(table);
  if (known) return known;
  const index = new TableIndex(table);
  INDEXES.set(table, index);
  return index;
}
