import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join, relative } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect, test } from 'vitest';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');

/** The documentation pages, by their path from the root. */
function pages(): string[] {
  const found = ['README.md', 'CONTRIBUTING.md', 'bench/README.md', 'test-data/README.md'];
  for (const entry of readdirSync(join(ROOT, 'docs'), { withFileTypes: true, recursive: true }))
    if (entry.name.endsWith('.md')) found.push(relative(ROOT, join(entry.parentPath, entry.name)));
  return found;
}

/** Below this heading the glossary lists names that the code does not have yet. */
const PLANNED_NAMES_HEADING = '## Names being changed';

/** Folders that paths on the pages may be relative to. */
const BASES = ['.', 'src', 'src/simulation', 'docs', 'bench'];

/** The names of all files below a folder. */
function fileNames(folder: string): string[] {
  return readdirSync(join(ROOT, folder), { withFileTypes: true, recursive: true })
    .filter((entry) => entry.isFile())
    .map((entry) => entry.name);
}

function textOf(page: string): string {
  return readFileSync(join(ROOT, page), 'utf8');
}

/** The anchors of the headings of a page, in the form that Markdown viewers generate. */
function anchorsOf(page: string): string[] {
  return [...textOf(page).matchAll(/^#+ (.+)$/gm)].map(([, heading = '']) =>
    heading
      .toLowerCase()
      .replace(/[^\p{L}\p{N} _-]/gu, '')
      .replaceAll(' ', '-'),
  );
}

test('every link between pages leads to an existing file and heading', () => {
  const broken: string[] = [];
  for (const page of pages())
    for (const [, link = ''] of textOf(page).matchAll(/\]\(([^)\s]+)\)/g)) {
      if (/^[a-z]+:/.test(link)) continue;
      const [path = '', anchor] = link.split('#');
      const target = path === '' ? page : join(dirname(page), path);
      const exists =
        existsSync(join(ROOT, target)) &&
        (anchor === undefined || anchorsOf(target).includes(anchor));
      if (!exists) broken.push(`${page}: ${link}`);
    }
  expect(broken).toEqual([]);
});

test('the index lists every page of docs/', () => {
  const index = textOf('docs/README.md');
  const unlisted = pages().filter(
    (page) =>
      page.startsWith('docs/') &&
      page !== 'docs/README.md' &&
      !index.includes(`(${relative('docs', page)})`),
  );
  expect(unlisted).toEqual([]);
});

test('every source file that a page mentions exists', () => {
  const names = new Set(['src', 'platform', 'bench', 'docs', 'bin'].flatMap(fileNames));
  const missing: string[] = [];
  for (const page of pages()) {
    const [text = ''] = textOf(page).split(PLANNED_NAMES_HEADING);
    for (const [, name = ''] of text.matchAll(/`([\w./-]+\.(?:ts|mjs|sh|md))`/g)) {
      const isPath = name.includes('/');
      const exists = isPath
        ? BASES.some((base) => existsSync(join(ROOT, base, name)))
        : names.has(name) || existsSync(join(ROOT, name));
      if (!exists) missing.push(`${page}: ${name}`);
    }
  }
  expect(missing).toEqual([]);
});
