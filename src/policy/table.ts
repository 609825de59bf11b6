import { StructError } from 'superstruct';
import { tableIndexOf } from './table-index.js';
import { EMPTY_TABLE, TableShape, type Mapping, type Row, type Table } from './table-shape.js';

export * from './table-shape.js';

/** One fault of a table and its position: a row and its cell, or a line and its column. */
export interface Fault {
  readonly row: string;
  readonly cell: string;
  readonly text: string;
  readonly line?: number;
  readonly column?: number;
}

/** The key of a row, which identifies it within a table. */
export function rowKey(row: { readonly type: string; readonly model: string }): string {
  return `${row.type}/${row.model}`;
}

function faultPosition(path: readonly unknown[]): { row: string; cell: string } {
  const [list, index, cell] = path;
  return {
    row: index === undefined ? String(list ?? 'table') : `${String(list)}[${String(index)}]`,
    cell: String(cell ?? ''),
  };
}

/** Checks a whole table and returns all faults; if the shape is wrong, the table is empty. */
export function checkTable(raw: unknown): {
  readonly table: Table;
  readonly faults: readonly Fault[];
} {
  const [error, table] = TableShape.validate(raw);
  if (error instanceof StructError || !table) {
    const faults: Fault[] = [];
    for (const failure of error?.failures() ?? [])
      faults.push({ ...faultPosition(failure.path), text: failure.message });
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
  const endpoints = new Set<string>();
  for (const mapping of table.mappings) {
    const endpoint = `${mapping.method} ${mapping.path}`;
    if (endpoints.has(endpoint))
      faults.push({
        row: endpoint,
        cell: 'path',
        text: 'another mapping has the same method and path',
      });
    endpoints.add(endpoint);
    if (!types.has(mapping.type))
      faults.push({ row: endpoint, cell: 'type', text: `no row has the type ${mapping.type}` });
  }
  return { table, faults };
}

/** Whether a model matches the pattern of a row: an exact endpoint, or a prefix that ends in *. */
export function matchesModel(pattern: string, model: string): boolean {
  return pattern.endsWith('*') ? model.startsWith(pattern.slice(0, -1)) : pattern === model;
}

/** The first matching row, in the order of the table. */
export function findRow(table: Table, type: string, model: string): Row | undefined {
  return tableIndexOf(table).row(type, model);
}

/** The mapping with the longest path that matches the method and path. */
export function findMapping(table: Table, method: string, path: string): Mapping | undefined {
  return tableIndexOf(table).mapping(method, path);
}
