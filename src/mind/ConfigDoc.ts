import { array, boolean, enums, number, optional, string, type, union, type Infer } from 'superstruct';
import { EMPTY_TABLE, TableShape } from '../code/Table.js';

const EditRecord = type({ id: string(), number: number(), outcome: enums(['accepted', 'closed']) });

/** What the configuration part holds. */
export const ConfigDocShape = type({
  /** Counts accepted tables; an edit names the one it was made from. */
  number: number(),
  table: TableShape,
  emptied: array(string()),
  edits: array(EditRecord),
  /** One set of voters, or two while a swap is under way. */
  voters: array(array(string())),
});
export type ConfigDoc = Infer<typeof ConfigDocShape>;

/** What of it the data plane is told. */
export const ConfigNewsShape = type({ number: number(), table: TableShape, emptied: array(string()), voters: array(array(string())) });
export type ConfigNews = Infer<typeof ConfigNewsShape>;

export const MAX_EDITS = 500;

export function firstDoc(voters: readonly string[]): ConfigDoc {
  return { number: 0, table: EMPTY_TABLE, emptied: [], edits: [], voters: [[...voters]] };
}

const Value = union([string(), number(), boolean()]);

/** The operators' edits, as the API takes them. */
export const EditShapes = {
  table: type({ id: string(), base: number(), text: optional(string()), table: optional(type({})) }),
  cell: type({ id: string(), base: number(), row: string(), column: string(), value: Value }),
  rows: type({ id: string(), base: number(), put: array(type({})), remove: array(string()) }),
  zone: type({ id: string(), zone: string(), empty: boolean() }),
  swap: type({ id: string(), old: string(), new: string() }),
  edit: type({ id: string() }),
} as const;
