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
/** A model, a prefix of model names that ends in *, or @service for plain back ends. */
const ModelPattern = pattern(
  string(),
  /^(@[a-z][a-z0-9-]{0,62}|[A-Za-z0-9][A-Za-z0-9._-]{0,126}\*?|\*)$/,
);
const Path = pattern(string(), /^\/[A-Za-z0-9._~/-]*\*?$/);

/** Maps a method and a path to a type of request. */
export const MappingShape = object({ method: enums(METHODS), path: Path, type: Name });

/** The policy for requests of a type to a model. */
export const RowShape = object({
  type: Name,
  model: ModelPattern,
  weight: max(min(integer(), 1), 1000),
  /** Maximum rate of requests per second over the whole fleet. */
  take: max(min(number(), 0), 100_000),
  /** Time limit for the response, in milliseconds. */
  lateMs: max(min(integer(), 50), 3_600_000),
  repeatable: boolean(),
  stream: boolean(),
});

const MAX_ROWS = 20_000;

/** The whole table. The shape is part of the stored state. */
export const TableShape = object({
  mappings: size(array(MappingShape), 0, MAX_ROWS),
  rows: size(array(RowShape), 0, MAX_ROWS),
});

/** A mapping of a method and a path to a type of request. */
export type Mapping = Infer<typeof MappingShape>;
/** A row: the policy for requests of a type to a model. */
export type Row = Infer<typeof RowShape>;
/** A policy table; immutable. */
export type Table = Infer<typeof TableShape>;

/** The table before the first edit. */
export const EMPTY_TABLE: Table = { mappings: [], rows: [] };
/** The cells of a row in the order of output. */
export const COLUMNS = [
  'type',
  'model',
  'weight',
  'take',
  'lateMs',
  'repeatable',
  'stream',
] as const;
