import { StructError } from 'superstruct';
import { indexOf } from './table-index.js';
import { EMPTY_TABLE, TableShape, type Mapping, type Row, type Table } from './table-shape.js';

export * from './table-shape.js';

/** One fault of a table, named by where it stands: a row and its cell, or a line and its column. */
export interface Fault {
  readonly row: string;
  readonly cell: string;
  readonly text: string;
  readonly line?: number;
  readonly column?: number;
}

export function rowKey(row: { readonly type: string; readonly model: string }): string {
  return `${row.type}/${row.model}`;
}

function faultPlace(path: readonly unknown[]): { row: string; cell: string } {
  const [list, index, cell] = path;
  return {
    row: index === undefined ? String(list ?? 'table') : `${String(list)}[${String(index)}]`,
    cell: String(cell ?? ''),
  };
}

/** Checks a whole table and names every fault at once. */
export function checkTable(raw: unknown): {
  readonly table: Table;
  readonly faults: readonly Fault[];
} {
  const [error, table] = TableShape.validate(raw);
  if (error instanceof StructError || !table) {
    const faults: Fault[] = [];
    for (const item of error?.failures() ?? [])
      faults.push({ ...faultPlace(item.path), text: item.message });
    return { table: EMPTY_TABLE, faults };
  }
  const faults: Fault[] = [];
  const types = new Set<string>();
  const seen = new Set<string>();
  for (const row of table.rows) {
    types.add(row.type);
    const key = rowKey(row);
    if (seen.has(key))
      faults.push({ row: key, cell: 'model', text: 'another row has the same type and model' });
    seen.add(key);
  }
  const paths = new Set<string>();
  for (const mapping of table.mappings) {
    const name = `${mapping.method} ${mapping.path}`;
    if (paths.has(name))
      faults.push({
        row: name,
        cell: 'path',
        text: 'another mapping has the same method and path',
      });
    paths.add(name);
    if (!types.has(mapping.type))
      faults.push({ row: name, cell: 'type', text: `no row has the type ${mapping.type}` });
  }
  return { table, faults };
}

export function matchesModel(pattern: string, model: string): boolean {
  return pattern.endsWith('*') ? model.startsWith(pattern.slice(0, -1)) : pattern === model;
}

/** The first row that fits, as the operator ordered them. */
export function findRow(table: Table, type: string, model: string): Row | undefined {
  return indexOf(table).row(type, model);
}

export function findMapping(table: Table, method: string, path: string): Mapping | undefined {
  return indexOf(table).mapping(method, path);
}
