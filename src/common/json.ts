import { MalformedRequestError } from './errors.js';
import type { Shape } from './wire.js';

/** Parses JSON text; returns undefined if it is not JSON or does not have the shape. */
export function parseAs<T>(shape: Shape<T>, text: string): T | undefined {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch {
    return undefined;
  }
  return shape.is(raw) ? raw : undefined;
}

/** Parses JSON text; throws a `MalformedRequestError` that names `subject` if it is not JSON or does not have the shape. */
export function mustParseAs<T>(shape: Shape<T>, text: string, subject: string): T {
  const value = parseAs(shape, text);
  if (value === undefined) throw new MalformedRequestError(`${subject} is not what it should be`);
  return value;
}
