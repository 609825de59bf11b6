import { existsSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect, test } from 'vitest';

const SOURCES = dirname(fileURLToPath(import.meta.url));
const MAP = join(SOURCES, '..', 'docs', 'code-map.md');

/** The sections of the page: the folders that each heading names, and the files in its table. */
function sections(): { readonly folders: string[]; readonly files: string[] }[] {
  const [, ...parts] = readFileSync(MAP, 'utf8').split('\n## ');
  return parts.map(sectionOf);
}

function sectionOf(part: string): { folders: string[]; files: string[] } {
  const [heading = '', ...rows] = part.split('\n');
  return { folders: quoted(heading), files: quoted(rows.join('\n')) };
}

function quoted(text: string): string[] {
  const names: string[] = [];
  for (const [, name = ''] of text.matchAll(/`([^`]+)`/g)) names.push(name);
  return names;
}

function checkNames(): void {
  const missing: string[] = [];
  for (const { folders, files } of sections()) {
    expect(folders.length).toBeGreaterThan(0);
    expect(files.length).toBeGreaterThan(0);
    for (const file of files)
      if (!folders.some(holds.bind(undefined, file))) missing.push(`${folders.join()}: ${file}`);
  }
  expect(missing).toEqual([]);
}

function holds(file: string, folder: string): boolean {
  return existsSync(join(SOURCES, folder, file));
}

test('every file that the map of the code names is where it says', checkNames);
