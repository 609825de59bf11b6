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

/** The operators' routing: its version number, and its text as they sent it or as amended since. */
const RoutingDocShape = type({ version: number(), text: string() });

/** The recorded outcome of an edit, by which retries of it are not applied again. */
const EditRecord = type({
  id: string(),
  /** The number of the table right after the edit. */
  number: number(),
  outcome: enums(['accepted', 'closed']),
  /** The operators' version of the routing right after the edit; files of older builds lack it. */
  version: optional(number()),
});

/** The configuration document, as stored in the configuration partition. */
export const ConfigDocShape = type({
  /** Counts accepted tables; an edit names the number of the table that it was made from. */
  number: number(),
  table: TableShape,
  /** Zones that operators evacuated. */
  emptied: array(string()),
  edits: array(EditRecord),
  /** One set of voters, or two during a joint configuration. */
  voters: array(array(string())),
  routing: optional(RoutingDocShape),
  /** Target number of voters, set once departed voters were removed: spares are added up to this number. */
  seats: optional(number()),
});
/** The configuration document: table, evacuated zones, recorded edits, voters and routing. */
export type ConfigDoc = Infer<typeof ConfigDocShape>;

/** The configuration as published to the data plane: the document without the fields that only control nodes need. */
export const ConfigUpdateShape = type({
  number: number(),
  table: TableShape,
  emptied: array(string()),
  voters: array(array(string())),
  routing: optional(RoutingDocShape),
});
/** The published configuration. */
export type ConfigUpdate = Infer<typeof ConfigUpdateShape>;

/** How many edits are recorded. */
export const MAX_EDITS = 1000;

/** What the `base` of an edit counts: accepted tables, or the operators' own versions of the routing. */
export type BaseKind = 'table' | 'routing';

/**
 * Whether an edit without a record may have been accepted and its record discarded since. An accepted edit raises the
 * number that its `base` counts, so its record still exists if one exists that is no later than its base.
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

/** The document of a new cluster with these voters. */
export function initialDoc(voters: readonly string[]): ConfigDoc {
  return { number: 0, table: EMPTY_TABLE, emptied: [], edits: [], voters: [[...voters]] };
}

const Value = union([string(), number(), boolean()]);

/** The bodies of the operators' edits, as the API accepts them. */
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
  /** A complete document, or an amendment; `base` is the version of the document that it was made from, 0 for none. */
  configure: type({ id: string(), base: number(), text: string() }),
  swap: type({ id: string(), old: string(), new: string() }),
  /** A query for the outcome of an edit; its `base` shows whether the edit's record would still exist. */
  edit: type({ id: string(), base: optional(number()) }),
} as const;
