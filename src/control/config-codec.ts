import { array, assign, number, optional, string, type, type Infer } from 'superstruct';
import { MalformedRequestError } from '../common/errors.js';
import { parseAs } from '../common/json.js';
import { ConfigDocShape, type ConfigDoc } from './config-shapes.js';

/** The recorded edits as columns: stored as objects, 1000 edits would make up most of each write and message. */
const EditColumnsShape = type({
  ids: array(string()),
  numbers: array(number()),
  /** Indexes, in the other columns, of the edits that were closed; all others were accepted. */
  closed: array(number()),
  /** The operators' version of the routing right after each edit; documents of older builds lack the column. */
  versions: optional(array(number())),
});
/** Placeholder for a version that the document of an older build lacks. */
const UNKNOWN_VERSION = -1;
type EditColumns = Infer<typeof EditColumnsShape>;

/** The document as stored and sent. Documents of older builds have edits as objects, and no columns. */
const StoredDocShape = assign(ConfigDocShape, type({ editColumns: optional(EditColumnsShape) }));

type Edits = ConfigDoc['edits'];

function columnsOf(edits: Edits): EditColumns {
  const versions: number[] = [];
  const columns: EditColumns = { ids: [], numbers: [], closed: [], versions };
  for (const [index, edit] of edits.entries()) {
    columns.ids.push(edit.id);
    columns.numbers.push(edit.number);
    versions.push(edit.version ?? UNKNOWN_VERSION);
    if (edit.outcome === 'closed') columns.closed.push(index);
  }
  return columns;
}

function editsOf(columns: EditColumns): Edits {
  const closed = new Set(columns.closed);
  const edits: Edits = [];
  for (const [index, id] of columns.ids.entries()) {
    const outcome = closed.has(index) ? 'closed' : 'accepted';
    const version = columns.versions?.[index] ?? UNKNOWN_VERSION;
    const versionField = version === UNKNOWN_VERSION ? {} : { version };
    edits.push({ id, number: columns.numbers[index] ?? 0, outcome, ...versionField });
  }
  return edits;
}

/** Serializes a document for storage and for messages. */
export function encodeConfigDoc(doc: ConfigDoc): string {
  return JSON.stringify({ ...doc, edits: [], editColumns: columnsOf(doc.edits) });
}

/** Parses a stored document, including those of older builds; `undefined` if the text is malformed. */
export function decodeConfigDoc(text: string): ConfigDoc | undefined {
  const stored = parseAs(StoredDocShape, text);
  if (!stored) return undefined;
  const { editColumns, ...doc } = stored;
  return editColumns ? { ...doc, edits: [...doc.edits, ...editsOf(editColumns)] } : doc;
}

/** Like `decodeConfigDoc`, but throws a `MalformedRequestError` if the text is malformed. */
export function mustDecodeConfigDoc(text: string): ConfigDoc {
  const doc = decodeConfigDoc(text);
  if (!doc) throw new MalformedRequestError('the stored configuration is malformed');
  return doc;
}
