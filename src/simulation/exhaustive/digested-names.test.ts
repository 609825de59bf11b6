import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect, test } from 'vitest';
import { UNUSED_CLASSES } from './control-node.js';
import { CONSTANT_CLASSES, ORDERED_FIELDS } from './state-digest.js';

const SOURCE = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** The text of all source files except tests. */
function sourceText(): string {
  const texts: string[] = [];
  for (const entry of readdirSync(SOURCE, { withFileTypes: true, recursive: true })) {
    if (!entry.isFile() || !entry.name.endsWith('.ts') || entry.name.endsWith('.test.ts')) continue;
    texts.push(readFileSync(join(entry.parentPath, entry.name), 'utf8'));
  }
  return texts.join('\n');
}

test('classes that the state digest names in strings exist', () => {
  const text = sourceText();
  const names = [...UNUSED_CLASSES, ...CONSTANT_CLASSES];
  expect(names.filter((name) => !text.includes(`class ${name} `))).toEqual([]);
});

test('maps whose insertion order the state digest keeps exist', () => {
  const text = sourceText();
  expect([...ORDERED_FIELDS].filter((name) => !text.includes(`${name} = new Map`))).toEqual([]);
});
