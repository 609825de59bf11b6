import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { array, optional, size, string, type } from 'superstruct';
import { parseAs } from '../common/json.js';

const NamesShape = type({
  model: size(string(), 1, 200),
  adapter: optional(size(string(), 0, 200)),
  parts: optional(size(array(string()), 0, 64)),
});

/** What the body of a request names; on the wire the blocks of its prompt prefix are `parts`. */
export interface RequestNames {
  readonly model: string;
  /** Empty where no adapter is named. */
  readonly adapter: string;
  /** Ids of the blocks of the prompt, leading ones first. */
  readonly prefixBlocks: readonly string[];
}

/** The names of a request to a plain back end, which needs no model. */
export const NO_NAMES: RequestNames = { model: '', adapter: '', prefixBlocks: [] };

/** Reads the names in a JSON body; undefined where it names no model. */
export function readNames(body: Buffer): RequestNames | undefined {
  const names = parseAs(NamesShape, body.toString('utf8'));
  if (!names) return undefined;
  return { model: names.model, adapter: names.adapter ?? '', prefixBlocks: names.parts ?? [] };
}

/** The id that the client gave in `x-request-id` (1 to 200 printable ASCII characters), or a new one. */
export function requestIdOf(request: IncomingMessage): string {
  const given = request.headers['x-request-id'];
  return typeof given === 'string' && /^[\x21-\x7e]{1,200}$/.test(given) ? given : randomUUID();
}
