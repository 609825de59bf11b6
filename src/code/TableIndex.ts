import type { Mapping, Row, Table } from './Table.js';

interface Placed<T> { readonly order: number; readonly item: T }

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
    for (const mapping of table.mappings) namesOf(this.#mappings, mapping.method).add(mapping.path, mapping);
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
    for (const placed of this.#rows.get(type)?.fitting(model) ?? []) if (!first || placed.order < first.order) first = placed;
    return first?.item ?? this.#plain.get(type);
  }

  firstOf(type: string): Row | undefined { return this.#firsts.get(type); }

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

if (import.meta.vitest) {
  const { test, expect } = import.meta.vitest;
  const { Seeded } = await import('../myth/Seeded.js');
  const { matchesModel } = await import('./Table.js');
  /** As the rules say it, by walking everything. */
  function slowRow(table: Table, type: string, model: string): Row | undefined {
    for (const row of table.rows) if (row.type === type && (row.model.startsWith('@') || matchesModel(row.model, model))) return row;
    return undefined;
  }
  function slowMapping(table: Table, method: string, path: string): Mapping | undefined {
    let best: Mapping | undefined;
    for (const mapping of table.mappings) if (mapping.method === method && matchesModel(mapping.path, path) && (!best || reach(mapping) > reach(best))) best = mapping;
    return best;
  }
  function reach(mapping: Mapping): number { return mapping.path.endsWith('*') ? mapping.path.length - 1 : mapping.path.length; }
  function slowWeight(table: Table, model: string): number {
    let most = 0;
    for (const row of table.rows) if (!row.model.startsWith('@') && matchesModel(row.model, model)) most = Math.max(most, row.weight);
    return most;
  }
  function name(seeded: InstanceType<typeof Seeded>): string {
    let text = '';
    for (let length = 1 + seeded.below(3); length > 0; length -= 1) text += seeded.pick(['a', 'b']) ?? '';
    return text;
  }
  function checkSame(): void {
    for (let seed = 1; seed <= 60; seed += 1) {
      const seeded = new Seeded(seed);
      const rows: Row[] = [];
      const mappings: Mapping[] = [];
      for (let index = 0; index < 12; index += 1) {
        const model = seeded.isLikely(0.08) ? '@k' : seeded.isLikely(0.4) ? `${name(seeded)}*` : seeded.isLikely(0.1) ? '*' : name(seeded);
        rows.push({ type: seeded.pick(['s', 't']) ?? 's', model, weight: 1 + seeded.below(100), take: 1, lateMs: 1000, repeatable: false, stream: false });
        mappings.push({ method: seeded.pick(['GET', 'POST'] as const) ?? 'GET', path: `/${name(seeded)}${seeded.isLikely(0.5) ? '*' : ''}`, type: 's' });
      }
      const table: Table = { mappings, rows };
      for (let index = 0; index < 40; index += 1) {
        const asked = name(seeded);
        for (const type of ['s', 't', 'u']) expect(indexOf(table).row(type, asked)).toBe(slowRow(table, type, asked));
        expect(indexOf(table).weight(asked)).toBe(slowWeight(table, asked));
        const found = indexOf(table).mapping('GET', `/${asked}`);
        const slow = slowMapping(table, 'GET', `/${asked}`);
        expect(found === undefined ? undefined : reach(found)).toBe(slow === undefined ? undefined : reach(slow));
      }
    }
  }
  test('what the index finds is what walking the table finds', checkSame);
}
