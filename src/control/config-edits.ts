import { compile } from '../policy/language.js';
import { checkTable, COLUMNS, rowKey, type Fault, type Table } from '../policy/table.js';
import { HaretrackError, MalformedRequestError, VersionConflictError } from '../common/errors.js';
import { mustParseAs } from '../common/json.js';
import { checkRouting, type ConfigDialect, type RoutingFault } from '../route/routing.js';
import { EditShapes, MAX_EDITS, type ConfigDoc } from './config-shapes.js';

/** A policy table was rejected; lists every fault in it. */
export class TableError extends HaretrackError {
  readonly code = 'bad-table';
  readonly faults: readonly Fault[];

  constructor(faults: readonly Fault[]) {
    super(`${faults.length} fault${faults.length === 1 ? '' : 's'} in the table`);
    this.faults = faults;
  }
}

/** A configuration was rejected; lists every fault in it. */
export class ConfigError extends HaretrackError {
  readonly code = 'bad-config';
  readonly faults: readonly RoutingFault[];

  constructor(faults: readonly RoutingFault[]) {
    super(`${faults.length} fault${faults.length === 1 ? '' : 's'} in the configuration`);
    this.faults = faults;
  }
}

/** The document after an edit, with the id of the edit. */
interface Edited {
  readonly id: string;
  readonly doc: ConfigDoc;
}

function withTable(doc: ConfigDoc, id: string, raw: unknown): Edited {
  const { table, faults } = checkTable(raw);
  if (faults.length > 0) throw new TableError(faults);
  return { id, doc: { ...doc, number: doc.number + 1, table } };
}

function checkBase(doc: ConfigDoc, base: number): void {
  if (base !== doc.number)
    throw new VersionConflictError(`made from table ${base}, but table ${doc.number} is in force`);
}

function editTable(doc: ConfigDoc, body: string): Edited {
  const edit = mustParseAs(EditShapes.table, body, 'the edit');
  checkBase(doc, edit.base);
  if (edit.text === undefined) return withTable(doc, edit.id, edit.table);
  const { table, faults } = compile(edit.text);
  if (faults.length > 0) throw new TableError(faults);
  return { id: edit.id, doc: { ...doc, number: doc.number + 1, table } };
}

function editCell(doc: ConfigDoc, body: string): Edited {
  const edit = mustParseAs(EditShapes.cell, body, 'the edit');
  checkBase(doc, edit.base);
  const column = COLUMNS.find((name) => name === edit.column);
  if (!column)
    throw new TableError([
      { row: edit.row, cell: edit.column, text: `no such column; there are ${COLUMNS.join(', ')}` },
    ]);
  const rowIndex = doc.table.rows.findIndex((row) => rowKey(row) === edit.row);
  const currentRow = doc.table.rows[rowIndex];
  if (!currentRow)
    throw new TableError([{ row: edit.row, cell: edit.column, text: 'no such row' }]);
  const raw: unknown = { ...currentRow, [column]: edit.value };
  // These two columns are the row's key: duplicates, and mappings to a missing row, can only be found in the complete table.
  if (column === 'type' || column === 'model')
    return withTable(doc, edit.id, {
      ...doc.table,
      rows: doc.table.rows.map((row, index) => (index === rowIndex ? raw : row)),
    });
  const { table, faults } = checkTable({ mappings: [], rows: [raw] });
  const [row] = table.rows;
  if (!row || faults.length > 0)
    throw new TableError(faults.map((fault) => ({ ...fault, row: edit.row })));
  return {
    id: edit.id,
    doc: {
      ...doc,
      number: doc.number + 1,
      table: { ...doc.table, rows: doc.table.rows.with(rowIndex, row) },
    },
  };
}

function editRows(doc: ConfigDoc, body: string): Edited {
  const edit = mustParseAs(EditShapes.rows, body, 'the edit');
  checkBase(doc, edit.base);
  const rows = new Map<string, unknown>();
  for (const row of doc.table.rows) rows.set(rowKey(row), row);
  for (const key of edit.remove) {
    if (!rows.delete(key))
      throw new TableError([{ row: key, cell: '', text: 'no such row to remove' }]);
  }
  const { table, faults }: { table: Table; faults: readonly Fault[] } = checkTable({
    mappings: [],
    rows: edit.put,
  });
  if (faults.length > 0) throw new TableError(faults);
  for (const row of table.rows) rows.set(rowKey(row), row);
  return withTable(doc, edit.id, { ...doc.table, rows: [...rows.values()] });
}

function editRouting(
  doc: ConfigDoc,
  verb: 'configure' | 'amend',
  body: string,
  dialect: ConfigDialect,
): Edited {
  const edit = mustParseAs(EditShapes.configure, body, 'the edit');
  const current = doc.routing?.version ?? 0;
  // The base is checked first, so that a concurrent edit is reported as a conflict and not as a version that is too low.
  if (edit.base !== current)
    throw new VersionConflictError(
      `made from version ${edit.base}, but version ${current} is in force`,
    );
  const text = verb === 'configure' ? edit.text : dialect.amend(doc.routing?.text ?? '', edit.text);
  if (text === undefined)
    throw new ConfigError([
      { item: 'configuration', field: '', text: 'the change cannot be read' },
    ]);
  const { routing, faults } = dialect.read(text);
  if (!routing || faults.length > 0) throw new ConfigError(faults);
  const routingFaults = checkRouting(routing, current);
  if (routingFaults.length > 0) throw new ConfigError(routingFaults);
  return {
    id: edit.id,
    doc: { ...doc, number: doc.number + 1, routing: { version: routing.version, text } },
  };
}

function editZone(doc: ConfigDoc, body: string): Edited {
  const edit = mustParseAs(EditShapes.zone, body, 'the edit');
  const emptied = new Set(doc.emptied);
  if (edit.empty) emptied.add(edit.zone);
  else emptied.delete(edit.zone);
  return { id: edit.id, doc: { ...doc, emptied: [...emptied].sort() } };
}

/**
 * Applies an operator's edit to the document. Throws a `MalformedRequestError`, a `VersionConflictError`, a `TableError` or a
 * `ConfigError` if the edit is rejected.
 */
export function applyEdit(
  doc: ConfigDoc,
  verb: string,
  body: string,
  dialect?: ConfigDialect,
): Edited {
  switch (verb) {
    case 'table':
      return editTable(doc, body);
    case 'cell':
      return editCell(doc, body);
    case 'rows':
      return editRows(doc, body);
    case 'zone':
      return editZone(doc, body);
    case 'configure':
    case 'amend':
      if (dialect) return editRouting(doc, verb, body, dialect);
      break;
    default:
      break;
  }
  throw new MalformedRequestError(`no such edit: ${verb}`);
}

/** Records the outcome of an edit in the document, which keeps the newest `MAX_EDITS` records. */
export function recordEdit(doc: ConfigDoc, id: string, outcome: 'accepted' | 'closed'): ConfigDoc {
  const record = { id, number: doc.number, outcome, version: doc.routing?.version ?? 0 };
  return { ...doc, edits: [...doc.edits, record].slice(-MAX_EDITS) };
}
