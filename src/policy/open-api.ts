import { Validator } from '@seriousme/openapi-schema-validator';
import { record, string, type, unknown } from 'superstruct';
import { MalformedRequestError } from '../common/errors.js';
import type { Mapping } from './table.js';

const DocumentShape = type({ paths: record(string(), unknown()) });
const METHODS = ['get', 'post', 'put', 'delete'] as const;
const UPPER = { get: 'GET', post: 'POST', put: 'PUT', delete: 'DELETE' } as const;

function fieldOf(value: unknown, key: string): unknown {
  return typeof value === 'object' && value !== null && Object.hasOwn(value, key)
    ? Object.entries(value).find((entry) => entry[0] === key)?.[1]
    : undefined;
}

function nameOf(text: string): string {
  return text
    .replace(/([a-z0-9])([A-Z])/g, '$1-$2')
    .toLowerCase()
    .replace(/[^a-z0-9]+/g, '-')
    .replace(/^[^a-z]+|-+$/g, '')
    .slice(0, 63);
}

/** The request type of an operation: what it says itself, else its first tag, else its own id. */
function typeOf(operation: unknown): string {
  const own = fieldOf(operation, 'x-haretrack-type');
  const tags = fieldOf(operation, 'tags');
  const id = fieldOf(operation, 'operationId');
  for (const text of [own, Array.isArray(tags) ? tags[0] : undefined, id]) {
    const name = typeof text === 'string' ? nameOf(text) : '';
    if (name !== '') return name;
  }
  return '';
}

/** Mappings of an OpenAPI document, as file, JSON or YAML; paths end in * where their first parameter stands. */
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
    const plain = parameter < 0 ? path : `${path.slice(0, parameter)}*`;
    for (const method of METHODS) {
      const operation = fieldOf(item, method);
      if (operation === undefined) continue;
      const name = typeOf(operation);
      const key = `${UPPER[method]} ${plain}`;
      // Two paths that differ after their first parameter alone are one mapping here; the first one stands.
      if (name === '' || mappings.has(key)) {
        skipped.push(`${UPPER[method]} ${path}`);
        continue;
      }
      mappings.set(key, { method: UPPER[method], path: plain, type: name });
    }
  }
  return { mappings: [...mappings.values()], skipped };
}
