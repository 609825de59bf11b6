import { array, boolean, integer, optional, string, type, type Infer } from 'superstruct';
import { parseAs } from '../../common/json.js';
import type { ConfigDialect, Routing, RoutingFault } from '../../route/routing.js';

/** A configuration document of simulated operators: its version and named items. */
const DocumentShape = type({
  version: integer(),
  items: array(string()),
  faulty: optional(boolean()),
});
/** A configuration document in the plain dialect. */
export type PlainDocument = Infer<typeof DocumentShape>;

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerWaitMs: 1, idleMs: 1 } as const;
/** Maximum number of items in an amended document: older ones are dropped. */
const MAX_ITEMS = 6;

function fault(text: string): RoutingFault {
  return { item: 'configuration', field: '', text };
}

/** The text of a valid document. */
export function documentOf(version: number, ...items: readonly string[]): string {
  return JSON.stringify({ version, items });
}

/** Amends the text of a document by a change; undefined if either is malformed. */
export function amendDocument(text: string, change: string): string | undefined {
  const before = parseAs(DocumentShape, text);
  const after = parseAs(DocumentShape, change);
  if (!before || !after) return undefined;
  let items = before.items;
  for (const item of after.items) items = [...items.filter((other) => item !== other), item];
  const document = { version: after.version, items: items.slice(-MAX_ITEMS) };
  return JSON.stringify(after.faulty ? { ...document, faulty: true } : document);
}

/** A minimal dialect with complete documents and changes, either of which can be malformed or faulty. */
export class PlainDialect implements ConfigDialect {
  read(text: string): {
    readonly routing: Routing | undefined;
    readonly faults: readonly RoutingFault[];
  } {
    const document = parseAs(DocumentShape, text);
    if (!document) return { routing: undefined, faults: [fault('cannot be read')] };
    if (document.faulty) return { routing: undefined, faults: [fault('is faulty')] };
    const { version } = document;
    return { routing: { version, routes: [], services: [], limits: LIMITS }, faults: [] };
  }

  amend(text: string, change: string): string | undefined {
    return amendDocument(text, change);
  }
}
