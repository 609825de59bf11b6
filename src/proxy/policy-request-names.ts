import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { array, optional, size, string, type } from 'superstruct';
import { parseAs } from '../common/json.js';

const NamesShape = type({
  model: size(string(), 1, 200),
  adapter: optional(size(string(), 0, 200)),
  parts: optional(size(array(string()), 0, 64)),
});

/** The model, adapter and prefix blocks that the body of a request names; on the wire the blocks are `parts`. */
export interface RequestNames {
  readonly model: string;
  /** Empty where no adapter is named. */
  readonly adapter: string;
  /** Ids of the blocks of the prompt, from its start. */
  readonly prefixBlocks: readonly string[];
}

/** The names for a request to a plain back end, which needs no model. */
export const NO_NAMES: RequestNames = { model: '', adapter: '', prefixBlocks: [] };

/** Reads the names from a JSON body; undefined if it can't be parsed or names no model. */
export function readNames(body: Buffer): RequestNames | undefined {
  const names = parseAs(NamesShape, body.toString('utf8'));
  if (!names) return undefined;
  return { model: names.model, adapter: names.adapter ?? '', prefixBlocks: names.parts ?? [] };
}

/** The id that the client sent in `x-request-id` (1 to 200 visible ASCII characters), or else a new one. */
export function requestIdOf(request: IncomingMessage): string {
  const given = request.headers['x-request-id'];
  return typeof given === 'string' && /^[\x21-\x7e]{1,200}$/.test(given) ? given : randomUUID();
}
