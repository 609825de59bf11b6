import { Validator } from '@seriousme/openapi-schema-validator';
import { record, string, type, unknown } from 'superstruct';
import { MalformedRequestError } from '../common/errors.js';
import type { Mapping } from './table.js';

const DocumentShape = type({ paths: record(string(), unknown()) });
const METHODS = ['get', 'post', 'put', 'delete'] as const;
const UPPER_CASE = { get: 'GET', post: 'POST', put: 'PUT', delete: 'DELETE' } as const;

function propertyOf(value: unknown, key: string): unknown {
  return typeof value === 'object' && value !== null && Object.hasOwn(value, key)
    ? Object.entries(value).find((entry) => entry[0] === key)?.[1]
    : undefined;
}

function typeNameFrom(candidate: string): string {
  return candidate
    .replace(/([a-z0-9])([A-Z])/g, '$1-$2')
    .toLowerCase()
    .replace(/[^a-z0-9]+/g, '-')
    .replace(/^[^a-z]+|-+$/g, '')
    .slice(0, 63);
}

/** The request type of an operation: its `x-haretrack-type`, else its first tag, else its `operationId`; empty if none. */
function typeOf(operation: unknown): string {
  const declaredType = propertyOf(operation, 'x-haretrack-type');
  const tags = propertyOf(operation, 'tags');
  const id = propertyOf(operation, 'operationId');
  for (const candidate of [declaredType, Array.isArray(tags) ? tags[0] : undefined, id]) {
    const name = typeof candidate === 'string' ? typeNameFrom(candidate) : '';
    if (name !== '') return name;
  }
  return '';
}

/**
 * Converts the operations of an OpenAPI document, given as a file name, a text (JSON or YAML) or an object, to mappings. Paths
 * are cut at their first parameter and end in * there. Throws a `MalformedRequestError` if the document is invalid.
 */
export async function importOpenApi(
  source: string | Record<string, unknown>,
): Promise<{ readonly mappings: readonly Mapping[]; readonly skipped: readonly string[] }> {
  const validator = new Validator();
  const result = await validator.validate(source);
  if (!result.valid)
    throw new MalformedRequestError(
      `no sound OpenAPI document: ${JSON.stringify(result.errors ?? 'unreadable').slice(0, 500)}`,
    );
  const document: unknown = validator.specification;
  if (!DocumentShape.is(document))
    throw new MalformedRequestError('the OpenAPI document has no paths');
  const mappings = new Map<string, Mapping>();
  const skipped: string[] = [];
  for (const [path, item] of Object.entries(document.paths)) {
    const parameter = path.indexOf('{');
    const pathPattern = parameter < 0 ? path : `${path.slice(0, parameter)}*`;
    for (const method of METHODS) {
      const operation = propertyOf(item, method);
      if (operation === undefined) continue;
      const name = typeOf(operation);
      const key = `${UPPER_CASE[method]} ${pathPattern}`;
      // Paths that differ only after their first parameter become the same mapping; the first one is used.
      if (name === '' || mappings.has(key)) {
        skipped.push(`${UPPER_CASE[method]} ${path}`);
        continue;
      }
      mappings.set(key, { method: UPPER_CASE[method], path: pathPattern, type: name });
    }
  }
  return { mappings: [...mappings.values()], skipped };
}
