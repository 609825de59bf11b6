import { MalformedRequestError } from './errors.js';
import type { Shape } from './wire.js';

/** JSON text of a given shape, or nothing. */
export function parseAs<T>(shape: Shape<T>, text: string): T | undefined {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch {
    return undefined;
  }
  return shape.is(raw) ? raw : undefined;
}

export function mustParseAs<T>(shape: Shape<T>, text: string, what: string): T {
  const value = parseAs(shape, text);
  if (value === undefined) throw new MalformedRequestError(`${what} is not what it should be`);
  return value;
}
