import { array, boolean, integer, optional, string, type, type Infer } from 'superstruct';
import { parseAs } from '../../common/json.js';
import type { ConfigDialect, Routing, RoutingFault } from '../../route/routing.js';

/** A document of simulated operators: its version and named items. */
const DocumentShape = type({
  version: integer(),
  items: array(string()),
  faulty: optional(boolean()),
});
export type PlainDocument = Infer<typeof DocumentShape>;

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerWaitMs: 1, idleMs: 1 } as const;
/** Items of a document that changes have made long: the oldest go. */
const MOST_ITEMS = 6;

function fault(text: string): RoutingFault {
  return { item: 'configuration', field: '', text };
}

/** A valid document as a text. */
export function documentOf(version: number, ...items: readonly string[]): string {
  return JSON.stringify({ version, items });
}

/** What a change makes of a document, as a text; nothing where either cannot be read. */
export function amendDocument(text: string, change: string): string | undefined {
  const before = parseAs(DocumentShape, text);
  const after = parseAs(DocumentShape, change);
  if (!before || !after) return undefined;
  let items = before.items;
  for (const item of after.items) items = [...items.filter((other) => item !== other), item];
  const document = { version: after.version, items: items.slice(-MOST_ITEMS) };
  return JSON.stringify(after.faulty ? { ...document, faulty: true } : document);
}

/** The smallest dialect that has whole documents, changes, and both kinds of invalid ones. */
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
