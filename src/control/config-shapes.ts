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
import { EMPTY_TABLE, TableShape } from '../policy/table.js';

/** The operators' routing: their own number of it, and its text as they sent it or as their changes made it. */
const RoutingDocShape = type({ version: number(), text: string() });

const EditRecord = type({
  id: string(),
  /** The number of the table right after it. */
  number: number(),
  outcome: enums(['accepted', 'closed']),
  /** The operators' version of the routing right after it; older files do not tell it. */
  version: optional(number()),
});

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
  /** How many voters are wanted, where some that are gone were left out; others are taken in up to that number. */
  seats: optional(number()),
});
export type ConfigDoc = Infer<typeof ConfigDocShape>;

/** What of it the data plane is told. */
export const ConfigUpdateShape = type({
  number: number(),
  table: TableShape,
  emptied: array(string()),
  voters: array(array(string())),
  routing: optional(RoutingDocShape),
});
export type ConfigUpdate = Infer<typeof ConfigUpdateShape>;

/** So many edits are remembered by id. */
export const MAX_EDITS = 1000;

/** What an edit's base counts: accepted tables, or the operators' own versions of the routing. */
export type BaseKind = 'table' | 'routing';

/**
 * Whether an edit that is not remembered may have been accepted and forgotten since. One made from `base` would have
 * raised that number, and is remembered if anything from no later than its base still is.
 */
export function mayBeForgotten(
  doc: ConfigDoc,
  base: number | undefined,
  kind: BaseKind = 'table',
): boolean {
  const [oldest] = doc.edits;
  if (oldest === undefined || doc.edits.length < MAX_EDITS) return false;
  const oldestBase = kind === 'routing' ? oldest.version : oldest.number;
  return base === undefined || oldestBase === undefined || oldestBase > base;
}

export function initialDoc(voters: readonly string[]): ConfigDoc {
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
