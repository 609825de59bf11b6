import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join, relative } from 'node:path';
import { fileURLToPath } from 'node:url';
import ts from 'typescript';
import { expect, test } from 'vitest';

const SOURCE = dirname(fileURLToPath(import.meta.url));

/** Which files of the product each of its files imports, of types alone as well; tests left out. */
function importsOf(root: string): Map<string, string[]> {
  const imports = new Map<string, string[]>();
  for (const entry of readdirSync(root, { withFileTypes: true, recursive: true })) {
    if (!entry.isFile() || !entry.name.endsWith('.ts') || entry.name.endsWith('.test.ts')) continue;
    const path = join(entry.parentPath, entry.name);
    const targets: string[] = [];
    for (const { fileName } of ts.preProcessFile(readFileSync(path, 'utf8')).importedFiles) {
      const target = join(dirname(path), fileName.replace(/\.js$/, '.ts'));
      if (fileName.startsWith('.') && existsSync(target)) targets.push(relative(root, target));
    }
    imports.set(relative(root, path), targets);
  }
  return imports;
}

/** The same between folders. */
function foldersOf(imports: ReadonlyMap<string, readonly string[]>): Map<string, string[]> {
  const folders = new Map<string, string[]>();
  for (const [file, targets] of imports) {
    const known = folders.get(dirname(file)) ?? [];
    for (const target of targets)
      if (dirname(target) !== dirname(file)) known.push(dirname(target));
    folders.set(dirname(file), known);
  }
  return folders;
}

/** One circle for each place where a walk comes back to where it has been. */
function circlesIn(arrows: ReadonlyMap<string, readonly string[]>): string[] {
  const circles: string[] = [];
  const done = new Set<string>();
  function visit(name: string, path: readonly string[]): void {
    if (path.includes(name)) {
      circles.push([...path.slice(path.indexOf(name)), name].join(' -> '));
      return;
    }
    if (done.has(name)) return;
    for (const next of arrows.get(name) ?? []) visit(next, [...path, name]);
    done.add(name);
  }
  for (const name of arrows.keys()) visit(name, []);
  return circles;
}
test('a circle of imports is found', () => {
  const arrows = new Map([
    ['a', ['b']],
    ['b', ['c']],
    ['c', ['b']],
  ]);
  expect(circlesIn(arrows)).toEqual(['b -> c -> b']);
});
test('no file imports itself by way of others', () => {
  const imports = importsOf(SOURCE);
  expect(imports.size).toBeGreaterThan(100);
  expect(circlesIn(imports)).toEqual([]);
});
test('no folder imports itself by way of others', () => {
  expect(circlesIn(foldersOf(importsOf(SOURCE)))).toEqual([]);
});
