import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join, relative } from 'node:path';
import { fileURLToPath } from 'node:url';
import ts from 'typescript';
import { expect, test } from 'vitest';

const SOURCE = dirname(fileURLToPath(import.meta.url));

/** The files that each source file imports, including type imports, without tests. */
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

/** The imports between folders. */
function folderImportsOf(imports: ReadonlyMap<string, readonly string[]>): Map<string, string[]> {
  const folders = new Map<string, string[]>();
  for (const [file, targets] of imports) {
    const known = folders.get(dirname(file)) ?? [];
    for (const target of targets)
      if (dirname(target) !== dirname(file)) known.push(dirname(target));
    folders.set(dirname(file), known);
  }
  return folders;
}

/** The import cycles: one for each edge at which a depth-first search comes back to its own path. */
function cyclesIn(edges: ReadonlyMap<string, readonly string[]>): string[] {
  const cycles: string[] = [];
  const done = new Set<string>();
  function visit(name: string, path: readonly string[]): void {
    if (path.includes(name)) {
      cycles.push([...path.slice(path.indexOf(name)), name].join(' -> '));
      return;
    }
    if (done.has(name)) return;
    for (const next of edges.get(name) ?? []) visit(next, [...path, name]);
    done.add(name);
  }
  for (const name of edges.keys()) visit(name, []);
  return cycles;
}
test('a cycle of imports is found', () => {
  const edges = new Map([
    ['a', ['b']],
    ['b', ['c']],
    ['c', ['b']],
  ]);
  expect(cyclesIn(edges)).toEqual(['b -> c -> b']);
});
test('there is no cycle of imports between files', () => {
  const imports = importsOf(SOURCE);
  expect(imports.size).toBeGreaterThan(100);
  expect(cyclesIn(imports)).toEqual([]);
});
test('there is no cycle of imports between folders', () => {
  expect(cyclesIn(folderImportsOf(importsOf(SOURCE)))).toEqual([]);
});
