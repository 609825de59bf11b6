/** Tests of the comparison of two checkouts, with a stub in place of the bench. */
import { chmodSync, mkdirSync, mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, test } from 'vitest';
import { runCommand } from './command.js';
import { parseDayReport } from './day-report.js';
import { meanDifference } from './paired-differences.js';

const REPORT = {
  G: 0.8,
  parts: [['whole day', 0.75, 0.9]],
  prices: [['orders', 320, 0.002]],
  classes: [
    { name: 'chat', worth: 0.9 },
    { name: 'idle', worth: null },
  ],
  breaks: {},
};

/** Reports the worth in the checkout's file `worth`, plus 0.01 times the seed. */
const STUB_BENCH = `#!/usr/bin/env node
const { readFileSync, writeFileSync } = require('node:fs');
const [, , , , , , seed, , report] = process.argv;
const worth = Number(readFileSync('worth', 'utf8')) + 0.01 * Number(seed);
const breaks = worth > 0.92 ? { LOST: 1 } : {};
writeFileSync(report, JSON.stringify({ ...${JSON.stringify(REPORT)}, G: worth, breaks }));
`;

test('the half width of the interval follows from the spread of the paired differences', () => {
  const pairs = [
    { before: 1, after: 2 },
    { before: 1, after: 4 },
  ];
  const { difference, halfWidth, before, after } = meanDifference(pairs);
  expect([before, after, difference]).toEqual([1, 3, 2]);
  expect(halfWidth).toBeCloseTo((12.706 * Math.SQRT2) / Math.SQRT2, 3);
  expect(meanDifference(pairs.slice(1)).halfWidth).toBeUndefined();
});

test('a report is parsed into figures, and an invalid one is rejected', () => {
  const { figures, brokenRules } = parseDayReport(
    JSON.stringify({ ...REPORT, breaks: { ONE: 2 } }),
  );
  expect(Object.fromEntries(figures)).toEqual({
    worth: 0.8,
    'whole day': 0.9,
    'class chat': 0.9,
    'price orders': 0.002,
  });
  expect(brokenRules).toEqual(['ONE']);
  expect(() => parseDayReport('{}')).toThrow();
});

test('both checkouts play each day with each seed; the output has the differences and broken rules', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'compare-'));
  const bench = join(folder, 'bench');
  writeFileSync(bench, STUB_BENCH);
  chmodSync(bench, 0o755);
  for (const [checkout, worth] of [
    ['old', '0.8'],
    ['new', '0.9'],
  ] as const) {
    mkdirSync(join(folder, checkout));
    writeFileSync(join(folder, checkout, 'worth'), worth);
  }
  const lines: string[] = [];
  const args = ['--before', join(folder, 'old'), '--after', join(folder, 'new'), '--bench', bench];
  args.push('--out', join(folder, 'out'), '--why', 'a test', '--site', 'example.toml');
  args.push('--day', 'quiet-1', '--seed', '1', '--seed', '3', '--', '--small');
  expect(await runCommand(args, (line) => lines.push(line))).toBe(0);
  expect(lines).toContain('| worth of example.quiet-1.1 | 1 | 0.810 | 0.910 | +0.100 |');
  expect(lines).toContain('| mean worth | 2 | 0.820 | 0.920 | +0.100 ± 0.000 |');
  expect(lines.filter((line) => line.includes('whole day'))).toEqual([]);
  expect(lines).toContain('rule broken after on example.quiet-1.3: LOST');
});

test('the error of a failed bench names the day', async () => {
  const args = ['--before', '.', '--after', '.', '--bench', '/bin/false', '--why', 'a test'];
  args.push('--out', mkdtempSync(join(tmpdir(), 'compare-')), '--site', 'a.toml', '--day', 'd');
  await expect(runCommand(args, () => undefined)).rejects.toThrow(/a\.d\.1: the bench ended/);
});

test('without its options the command prints its usage', async () => {
  const lines: string[] = [];
  expect(await runCommand([], (line) => lines.push(line))).toBe(2);
  expect(lines.join()).toContain('usage:');
});
