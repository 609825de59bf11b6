/** Plays days with the bench in two checkouts, with limited concurrency, and reads the reports. */
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { from, lastValueFrom, mergeMap, toArray } from 'rxjs';
import { VError } from 'verror';
import { parseDayReport, type DayFigures } from './day-report.js';

/** One day to play in one checkout. */
export interface DayRun {
  /** The checkout that the bench runs in, as its working directory. */
  readonly checkoutDir: string;
  readonly site: string;
  readonly day: string;
  readonly seed: number;
  /** Base name of the report and output files. */
  readonly label: string;
}

/** Settings that all runs share. */
export interface RunSettings {
  /** Path of the bench's executable. */
  readonly bench: string;
  /** Directory for the report and output files. */
  readonly outputDir: string;
  /** The maximum number of days that are played at the same time. */
  readonly maxConcurrentRuns: number;
  /** The reason that the bench records in its journal entry. */
  readonly why: string;
  /** Additional options of the bench, such as `--small`. */
  readonly options: readonly string[];
}

/** A completed run with the figures of its report. */
export interface CompletedRun {
  readonly run: DayRun;
  readonly figures: DayFigures;
}

/**
 * Plays all days. The first failure rejects the promise; bench processes that still run are not stopped.
 *
 * @throws {VError} if the bench fails or writes no valid report.
 * @throws {Error} if the bench cannot be started.
 */
export async function runDays(
  runs: readonly DayRun[],
  settings: RunSettings,
): Promise<CompletedRun[]> {
  return lastValueFrom(
    from(runs).pipe(
      mergeMap((run) => runDay(run, settings), settings.maxConcurrentRuns),
      toArray(),
    ),
  );
}

async function runDay(run: DayRun, settings: RunSettings): Promise<CompletedRun> {
  const path = join(settings.outputDir, run.label);
  const report = `${path}.json`;
  const args = ['run', run.site, run.day, '--seed', String(run.seed), '--report', report];
  args.push('--why', settings.why, ...settings.options);
  const status = await runProgram(settings.bench, args, run.checkoutDir, `${path}.txt`);
  if (status !== 0) throw new VError('%s: the bench ended with status %s', run.label, status);
  try {
    return { run, figures: parseDayReport(await readFile(report, 'utf8')) };
  } catch (error) {
    throw new VError(error instanceof Error ? error : new Error(String(error)), run.label);
  }
}

async function runProgram(
  program: string,
  args: readonly string[],
  directory: string,
  outputPath: string,
): Promise<number | null> {
  return new Promise((resolve, reject) => {
    const child = spawn(program, args, { cwd: directory, stdio: ['ignore', 'pipe', 'pipe'] });
    const file = createWriteStream(outputPath);
    child.stdout.pipe(file, { end: false });
    child.stderr.pipe(file, { end: false });
    child.on('error', reject);
    child.on('close', (status) => file.end(() => resolve(status)));
  });
}
