import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Shape } from '../common/wire.js';
import { mustParseAs } from '../common/json.js';

/** The committed data of an earlier build; see its README for what may change there. */
export const TEST_DATA = join(dirname(fileURLToPath(import.meta.url)), '..', '..', 'test-data');

/** Reads a committed JSON file of test data; throws if it isn't of the given shape. */
export function readGolden<T>(shape: Shape<T>, file: string): T {
  return mustParseAs(shape, readFileSync(join(TEST_DATA, file), 'utf8'), file);
}
