import {
  array,
  boolean,
  enums,
  integer,
  max,
  min,
  number,
  object,
  pattern,
  size,
  string,
  type Infer,
} from 'superstruct';

const METHODS = ['GET', 'POST', 'PUT', 'DELETE'] as const;
const Name = pattern(string(), /^[a-z][a-z0-9-]{0,62}$/);
/** A model, a prefix of models ending in *, or @service for plain back ends. */
const ModelPattern = pattern(
  string(),
  /^(@[a-z][a-z0-9-]{0,62}|[A-Za-z0-9][A-Za-z0-9._-]{0,126}\*?|\*)$/,
);
const Path = pattern(string(), /^\/[A-Za-z0-9._~/-]*\*?$/);

/** Which type of request a method and path mean. */
export const MappingShape = object({ method: enums(METHODS), path: Path, type: Name });

/** How requests of a type go to a model. */
export const RowShape = object({
  type: Name,
  model: ModelPattern,
  weight: max(min(integer(), 1), 1000),
  /** Requests a second over the whole fleet. */
  take: max(min(number(), 0), 100_000),
  /** How late a return may be, in milliseconds. */
  lateMs: max(min(integer(), 50), 3_600_000),
  repeatable: boolean(),
  stream: boolean(),
});

const MOST_ROWS = 20_000;

/** The whole table. Stored. */
export const TableShape = object({
  mappings: size(array(MappingShape), 0, MOST_ROWS),
  rows: size(array(RowShape), 0, MOST_ROWS),
});

/** One mapping. */
export type Mapping = Infer<typeof MappingShape>;
/** One row. */
export type Row = Infer<typeof RowShape>;
/** A table; never changed in place. */
export type Table = Infer<typeof TableShape>;

/** The table before any operator put one. */
export const EMPTY_TABLE: Table = { mappings: [], rows: [] };
/** The cells of a row, in the order in which they are shown. */
export const COLUMNS = [
  'type',
  'model',
  'weight',
  'take',
  'lateMs',
  'repeatable',
  'stream',
] as const;
