import { array, assign, number, optional, string, type, type Infer } from 'superstruct';
import { MalformedRequestError } from '../common/errors.js';
import { parseAs } from '../common/json.js';
import { ConfigDocShape, type ConfigDoc } from './config-shapes.js';

/** The remembered edits by columns: as objects, a thousand of them were most of each write and of each copy sent. */
const EditColumnsShape = type({
  ids: array(string()),
  numbers: array(number()),
  /** Places in the other columns of the edits that were closed; all others were accepted. */
  closed: array(number()),
  /** The operators' version of the routing right after each edit; columns from before do not tell it. */
  versions: optional(array(number())),
});
/** In place of a version that an older document did not tell. */
const UNKNOWN_VERSION = -1;
type EditColumns = Infer<typeof EditColumnsShape>;

/** The document as it is stored and sent. Documents from before have their edits as objects and no columns. */
const StoredDocShape = assign(ConfigDocShape, type({ editColumns: optional(EditColumnsShape) }));

type Edits = ConfigDoc['edits'];

function columnsOf(edits: Edits): EditColumns {
  const versions: number[] = [];
  const columns: EditColumns = { ids: [], numbers: [], closed: [], versions };
  for (const [place, edit] of edits.entries()) {
    columns.ids.push(edit.id);
    columns.numbers.push(edit.number);
    versions.push(edit.version ?? UNKNOWN_VERSION);
    if (edit.outcome === 'closed') columns.closed.push(place);
  }
  return columns;
}

function editsOf(columns: EditColumns): Edits {
  const closed = new Set(columns.closed);
  const edits: Edits = [];
  for (const [place, id] of columns.ids.entries()) {
    const outcome = closed.has(place) ? 'closed' : 'accepted';
    const version = columns.versions?.[place] ?? UNKNOWN_VERSION;
    const told = version === UNKNOWN_VERSION ? {} : { version };
    edits.push({ id, number: columns.numbers[place] ?? 0, outcome, ...told });
  }
  return edits;
}

export function encodeConfigDoc(doc: ConfigDoc): string {
  return JSON.stringify({ ...doc, edits: [], editColumns: columnsOf(doc.edits) });
}

/** Nothing where the text is no such document. */
export function decodeConfigDoc(text: string): ConfigDoc | undefined {
  const stored = parseAs(StoredDocShape, text);
  if (!stored) return undefined;
  const { editColumns, ...doc } = stored;
  return editColumns ? { ...doc, edits: [...doc.edits, ...editsOf(editColumns)] } : doc;
}

export function mustDecodeConfigDoc(text: string): ConfigDoc {
  const doc = decodeConfigDoc(text);
  if (!doc) throw new MalformedRequestError('the configuration part is not what it should be');
  return doc;
}
