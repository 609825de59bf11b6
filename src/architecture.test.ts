import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join, relative, sep } from 'node:path';
import { fileURLToPath } from 'node:url';
import ts from 'typescript';
import { expect, test } from 'vitest';

const SOURCES = dirname(fileURLToPath(import.meta.url));
const PAGE = readFileSync(join(SOURCES, '..', 'docs', 'architecture.md'), 'utf8');
const LAYERS = 'Layers';
const MODULES = 'Where to find what';

/** The text of the page between a heading and the next one of the same level. */
function sectionOf(heading: string): string {
  return PAGE.split(`\n## ${heading}\n`)[1]?.split('\n## ')[0] ?? '';
}

/** The tables of modules: the folders that each heading lists, and the files of the table below it. */
function moduleTables(): { readonly folders: string[]; readonly files: string[] }[] {
  const tables = [];
  for (const table of sectionOf(MODULES).split('\n### ').slice(1)) {
    const [heading = '', ...rows] = table.split('\n');
    tables.push({ folders: quoted(heading), files: quoted(rows.join('\n')) });
  }
  return tables;
}

function quoted(text: string): string[] {
  const names: string[] = [];
  for (const [, name = ''] of text.matchAll(/`([^`]+)`/g)) names.push(name);
  return names;
}

/** The layer of each folder below `src/` according to the page; `.` is `src/` itself. */
function layers(): Map<string, number> {
  const layerOf = new Map<string, number>();
  for (const [, layer = '', folders = ''] of sectionOf(LAYERS).matchAll(/^\| (\d+) \|(.*)\|$/gm))
    for (const folder of quoted(folders)) layerOf.set(folder, Number(layer));
  return layerOf;
}

/** Folders below `src/` with the folders that their files import from, without tests and test helpers. */
function folderImports(): Map<string, Set<string>> {
  const imports = new Map<string, Set<string>>();
  for (const entry of readdirSync(SOURCES, { withFileTypes: true, recursive: true })) {
    const path = join(entry.parentPath, entry.name);
    if (!entry.isFile() || !isProduction(path)) continue;
    const folder = folderOf(path);
    const targets = imports.get(folder) ?? new Set<string>();
    imports.set(folder, targets);
    for (const { fileName } of ts.preProcessFile(readFileSync(path, 'utf8')).importedFiles)
      if (fileName.startsWith('.')) targets.add(folderOf(join(dirname(path), fileName)));
    targets.delete(folder);
  }
  return imports;
}

function isProduction(path: string): boolean {
  return (
    path.endsWith('.ts') && !path.endsWith('.test.ts') && !path.includes(`${sep}testing${sep}`)
  );
}

function folderOf(path: string): string {
  const [folder = '.', ...rest] = relative(SOURCES, path).split(sep);
  return rest.length > 0 ? folder : '.';
}

function checkModules(): void {
  const missing: string[] = [];
  for (const { folders, files } of moduleTables()) {
    expect(folders.length).toBeGreaterThan(0);
    expect(files.length).toBeGreaterThan(0);
    for (const file of files) {
      let exists = false;
      for (const folder of folders) exists ||= existsSync(join(SOURCES, folder, file));
      if (!exists) missing.push(`${folders.join()}: ${file}`);
    }
  }
  expect(missing).toEqual([]);
}

function checkPaths(): void {
  const missing: string[] = [];
  for (const name of quoted(PAGE))
    if (/^[a-z]+\/[a-z/-]+\.(ts|js)$/.test(name) && !isInRepository(name)) missing.push(name);
  expect(missing).toEqual([]);
}

function isInRepository(path: string): boolean {
  if (existsSync(join(SOURCES, path)) || existsSync(join(SOURCES, '..', path))) return true;
  for (const { folders } of moduleTables())
    for (const folder of folders) if (existsSync(join(SOURCES, folder, path))) return true;
  return false;
}

function checkFolders(): void {
  const tables = new Set<string>();
  for (const { folders } of moduleTables()) for (const folder of folders) tables.add(folder);
  const layerOf = layers();
  for (const folder of folderImports().keys())
    expect([folder, layerOf.has(folder)]).toEqual([folder, true]);
  for (const folder of ['.', 'compatibility']) tables.add(folder);
  expect([...tables].sort()).toEqual([...layerOf.keys()].sort());
}

function checkLayers(): void {
  const layerOf = layers();
  const upward: string[] = [];
  for (const [folder, targets] of folderImports())
    for (const target of targets)
      if ((layerOf.get(target) ?? Infinity) >= (layerOf.get(folder) ?? 0))
        upward.push(`${folder} -> ${target}`);
  expect(upward).toEqual([]);
}

test('every module on the architecture page exists in its folder', checkModules);
test('every path on the architecture page exists', checkPaths);
test('the architecture page has a layer and a table for every folder', checkFolders);
test('folders import from lower layers only', checkLayers);
