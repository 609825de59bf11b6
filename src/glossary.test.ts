import { existsSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect, test } from 'vitest';

const SOURCES = dirname(fileURLToPath(import.meta.url));
const GLOSSARY = join(SOURCES, '..', 'docs', 'glossary.md');
const USERS_SECTION = 'Our plain words and the terms of the field';
/** Number of pairs of terms in the list of the users. */
const USERS_PAIRS = 53;

/** The rows of the first table below a heading, as cells. */
function rowsOf(heading: string): string[][] {
  const section = readFileSync(GLOSSARY, 'utf8').split(`\n## ${heading}\n`)[1] ?? '';
  const rows: string[][] = [];
  for (const line of (section.split('\n## ')[0] ?? '').split('\n'))
    if (line.startsWith('|')) rows.push(line.split('|').slice(1, -1));
  return rows.slice(2);
}

test('every file that the glossary lists for a term exists', () => {
  const missing: string[] = [];
  for (const [word = '', , , where = ''] of rowsOf(USERS_SECTION))
    for (const [, file = ''] of where.matchAll(/`([^`]+)`/g))
      if (!existsSync(join(SOURCES, file))) missing.push(`${word}: ${file}`);
  expect(missing).toEqual([]);
});
test('the glossary has a row for each pair of terms in the list of the users', () => {
  const rows = rowsOf(USERS_SECTION);
  expect(rows).toHaveLength(USERS_PAIRS);
  for (const [word, term] of rows) {
    expect(word?.trim()).not.toBe('');
    expect(term?.trim()).not.toBe('');
  }
});
