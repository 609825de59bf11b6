/** The command line that compares two checkouts on the same days and seeds. */
import { mkdirSync } from 'node:fs';
import { basename, resolve } from 'node:path';
import { parseArgs } from 'node:util';
import { comparisonTable, type DayPair } from './comparison-table.js';
import { runDays, type DayRun, type CompletedRun } from './day-player.js';

/** Usage text of the command. */
export const USAGE = `usage:
  compare-trees --before DIR --after DIR --bench PROGRAM --out DIR --why TEXT
                --site SITE [--site SITE...] --day DAY [--day DAY...] [--seed N...]
                [--jobs N] [-- OPTIONS OF THE BENCH...]

Plays each day with each seed in both checkouts and prints the mean differences (after minus before) with their 95 %
intervals. The bench leaves its journal entries in the checkouts.`;

const OPTIONS = {
  before: { type: 'string' },
  after: { type: 'string' },
  bench: { type: 'string' },
  out: { type: 'string' },
  why: { type: 'string' },
  site: { type: 'string', multiple: true },
  day: { type: 'string', multiple: true },
  seed: { type: 'string', multiple: true },
  jobs: { type: 'string', default: '2' },
} as const;

/**
 * Runs the command and returns the exit status.
 *
 * @throws {VError} if the bench fails or writes no valid report.
 * @throws {Error} if the bench cannot be started.
 */
export async function runCommand(args: string[], print: (line: string) => void): Promise<number> {
  const { values, positionals } = parseArgs({ args, options: OPTIONS, allowPositionals: true });
  const { before, after, bench, out, why, site = [], day = [], seed = ['1'] } = values;
  const jobs = Number(values.jobs);
  const seeds = seed.map(Number);
  const isComplete = before && after && bench && out && why && site.length > 0 && day.length > 0;
  if (!isComplete || !(jobs >= 1) || seeds.some(Number.isNaN)) {
    print(USAGE);
    return 2;
  }
  mkdirSync(out, { recursive: true });
  const runs = listRuns({ before, after }, site.map(absolute), day, seeds);
  const settings = {
    bench: resolve(bench),
    outputDir: resolve(out),
    maxConcurrentRuns: jobs,
    why,
    options: positionals,
  };
  for (const line of comparisonTable(pairRuns(await runDays(runs, settings)))) print(line);
  return 0;
}

function listRuns(
  checkouts: Record<'before' | 'after', string>,
  sites: readonly string[],
  days: readonly string[],
  seeds: readonly number[],
): DayRun[] {
  const runs: DayRun[] = [];
  for (const site of sites) {
    for (const day of days) {
      for (const seed of seeds) {
        const name = `${basename(site, '.toml')}.${basename(day, '.toml')}.${seed}`;
        runs.push({ checkoutDir: checkouts.before, site, day, seed, label: `before.${name}` });
        runs.push({ checkoutDir: checkouts.after, site, day, seed, label: `after.${name}` });
      }
    }
  }
  return runs;
}

function pairRuns(completedRuns: readonly CompletedRun[]): DayPair[] {
  const byLabel = new Map(completedRuns.map(({ run, figures }) => [run.label, figures]));
  const pairs: DayPair[] = [];
  for (const [label, before] of [...byLabel].sort()) {
    if (!label.startsWith('before.')) continue;
    const day = label.slice('before.'.length);
    const after = byLabel.get(`after.${day}`);
    if (after) pairs.push({ day, before, after });
  }
  return pairs;
}

function absolute(path: string): string {
  return resolve(path);
}
