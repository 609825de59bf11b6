/** Plays days by the bench in two checkouts, a few at a time, and reads their reports. */
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { from, lastValueFrom, mergeMap, toArray } from 'rxjs';
import { VError } from 'verror';
import { readDayReport, type DayFigures } from './day-report.js';

/** One day to be played in one checkout. */
export interface DayPlay {
  /** The checkout in which the bench runs. */
  readonly tree: string;
  readonly site: string;
  readonly day: string;
  readonly seed: number;
  /** Names the files of report and output. */
  readonly label: string;
}

export interface PlayerSettings {
  /** The bench's program. */
  readonly bench: string;
  /** Where reports and outputs are written. */
  readonly out: string;
  /** How many days are played at a time. */
  readonly jobs: number;
  /** The line for the journal. */
  readonly why: string;
  /** Further options of the bench, such as `--small`. */
  readonly options: readonly string[];
}

/** A play with its figures. */
export interface PlayedDay {
  readonly play: DayPlay;
  readonly figures: DayFigures;
}

/**
 * Plays all; one that fails ends the others' waiting, but not their programs.
 *
 * @throws {VError} where the bench fails or writes no report.
 */
export async function playDays(
  plays: readonly DayPlay[],
  settings: PlayerSettings,
): Promise<PlayedDay[]> {
  return lastValueFrom(
    from(plays).pipe(
      mergeMap((play) => playDay(play, settings), settings.jobs),
      toArray(),
    ),
  );
}

async function playDay(play: DayPlay, settings: PlayerSettings): Promise<PlayedDay> {
  const path = join(settings.out, play.label);
  const report = `${path}.json`;
  const args = ['run', play.site, play.day, '--seed', String(play.seed), '--report', report];
  args.push('--why', settings.why, ...settings.options);
  const status = await runProgram(settings.bench, args, play.tree, `${path}.txt`);
  if (status !== 0) throw new VError('%s: the bench ended with status %s', play.label, status);
  try {
    return { play, figures: readDayReport(await readFile(report, 'utf8')) };
  } catch (error) {
    throw new VError(error instanceof Error ? error : new Error(String(error)), play.label);
  }
}

async function runProgram(
  program: string,
  args: readonly string[],
  directory: string,
  output: string,
): Promise<number | null> {
  return new Promise((resolve, reject) => {
    const child = spawn(program, args, { cwd: directory, stdio: ['ignore', 'pipe', 'pipe'] });
    const file = createWriteStream(output);
    child.stdout.pipe(file, { end: false });
    child.stderr.pipe(file, { end: false });
    child.on('error', reject);
    child.on('close', (status) => file.end(() => resolve(status)));
  });
}
