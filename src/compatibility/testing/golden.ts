import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { type } from 'superstruct';
import { expect } from 'vitest';
import { mustParseAs } from '../../common/json.js';
import type { Shape } from '../../common/wire.js';

/** The folder of golden files that an earlier build wrote; its README describes which of them may change. */
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

/** Reads a golden JSON file; throws if it does not match the shape. */
export function readGolden<T>(shape: Shape<T>, file: string): T {
  return mustParseAs(shape, readText(file), file);
}

/** Expects `text` to equal a golden file. */
export function expectGoldenText(file: string, text: string): void {
  expect(text).toBe(readText(file));
}

/** Expects `value` to equal a golden JSON file; `undefined` properties count as absent. */
export function expectGolden(file: string, value: object): void {
  const golden: unknown = JSON.parse(readText(file));
  const actual: unknown = JSON.parse(JSON.stringify(value));
  expect(actual).toEqual(golden);
}

/** Expects `value` to contain everything in a golden JSON file; its objects may have further keys. */
export function expectToContainGolden(file: string, value: object): void {
  expect(value).toMatchObject(readGolden(type({}), file));
}
