import {
  array,
  boolean,
  enums,
  number,
  optional,
  string,
  type,
  union,
  type Infer,
} from 'superstruct';
import { EMPTY_TABLE, TableShape } from '../policy/Table.js';

/** The operators' routing: their own number of it, and its text as they sent it or as their changes made it. */
const RoutingDocShape = type({ version: number(), text: string() });

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
  routing: optional(RoutingDocShape),
});
export type ConfigDoc = Infer<typeof ConfigDocShape>;

/** What of it the data plane is told. */
export const ConfigNewsShape = type({
  number: number(),
  table: TableShape,
  emptied: array(string()),
  voters: array(array(string())),
  routing: optional(RoutingDocShape),
});
export type ConfigNews = Infer<typeof ConfigNewsShape>;

/** So many edits are remembered by id. */
export const MAX_EDITS = 1000;

/**
 * Whether an edit that is not remembered may have been accepted and forgotten since. One made from table `base` would
 * have a number above it, and is remembered if anything older still is.
 */
export function mayBeForgotten(doc: ConfigDoc, base: number | undefined): boolean {
  const [oldest] = doc.edits;
  return (
    oldest !== undefined &&
    doc.edits.length >= MAX_EDITS &&
    !(base !== undefined && oldest.number <= base)
  );
}

export function firstDoc(voters: readonly string[]): ConfigDoc {
  return { number: 0, table: EMPTY_TABLE, emptied: [], edits: [], voters: [[...voters]] };
}

const Value = union([string(), number(), boolean()]);

/** The operators' edits, as the API takes them. */
export const EditShapes = {
  table: type({
    id: string(),
    base: number(),
    text: optional(string()),
    table: optional(type({})),
  }),
  cell: type({ id: string(), base: number(), row: string(), column: string(), value: Value }),
  rows: type({ id: string(), base: number(), put: array(type({})), remove: array(string()) }),
  zone: type({ id: string(), zone: string(), empty: boolean() }),
  /** A whole document, or a change of the one in force; `base` is the number of the document it was made from, 0 for none. */
  configure: type({ id: string(), base: number(), text: string() }),
  swap: type({ id: string(), old: string(), new: string() }),
  /** `base`, the table it was made from, tells whether it would still be remembered. */
  edit: type({ id: string(), base: optional(number()) }),
} as const;
