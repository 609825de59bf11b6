import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { type } from 'superstruct';
import { expect } from 'vitest';
import { mustParseAs } from '../../common/json.js';
import type { Shape } from '../../common/wire.js';

/** The committed data of an earlier build; its README says what may change there. */
export const TEST_DATA = join(
  dirname(fileURLToPath(import.meta.url)),
  '..',
  '..',
  '..',
  'test-data',
);

function readText(file: string): string {
  return readFileSync(join(TEST_DATA, file), 'utf8');
}

/** Reads a committed JSON file of test data; throws if it isn't of the given shape. */
export function readGolden<T>(shape: Shape<T>, file: string): T {
  return mustParseAs(shape, readText(file), file);
}

/** Expects exactly the text of a committed file. */
export function expectGoldenText(file: string, text: string): void {
  expect(text).toBe(readText(file));
}

/** Expects what a committed JSON file holds; keys that are `undefined` count as absent. */
export function expectGolden(file: string, value: object): void {
  const golden: unknown = JSON.parse(readText(file));
  const actual: unknown = JSON.parse(JSON.stringify(value));
  expect(actual).toEqual(golden);
}

/** Expects all that a committed JSON file holds; objects may have further keys. */
export function expectToContainGolden(file: string, value: object): void {
  expect(value).toMatchObject(readGolden(type({}), file));
}
