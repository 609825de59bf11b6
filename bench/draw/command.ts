/** The command line of the day generator. */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { formatDay, type Day } from './day.js';
import { drawDay } from './draw-day.js';
import { findUnknownKinds, parseListedKinds } from './listed-kinds.js';
import { parseSite, type Site } from './site.js';
import { listWorstDays } from './worst-days.js';

/** Usage text of the command. */
export const USAGE = `usage:
  draw-days draw SITE --kinds FILE --out DIR [--seed N] [--days N] [--intensity X] [--length S]
                 [--closing P] [--clusters N]   write random days, one file each, and print their paths
  draw-days worst SITE --out DIR write the fixed worst days for a site
  draw-days unknown              print the kinds on standard input that are missing from the table

SITE is a site file. FILE holds the output of the bench's 'kinds SITE'. --intensity ranges from 0 to 1,
--closing is the probability of a closing fault, --clusters the number of sequences of related
events per 34 s of a day.`;

const STANDARD_INPUT = 0;
const OPTIONS = {
  kinds: { type: 'string' },
  out: { type: 'string' },
  seed: { type: 'string', default: '1' },
  days: { type: 'string', default: '1' },
  intensity: { type: 'string', default: '0.5' },
  length: { type: 'string' },
  closing: { type: 'string', default: '0.5' },
  clusters: { type: 'string', default: '0' },
} as const;

/**
 * Runs the command and returns the exit status.
 *
 * @throws {TypeError} if the value of a numeric option is not a number.
 */
export function runCommand(args: string[], print: (line: string) => void): number {
  const { values, positionals } = parseArgs({ args, options: OPTIONS, allowPositionals: true });
  const [verb, sitePath] = positionals;
  if (verb === 'unknown') return printUnknown(readFileSync(STANDARD_INPUT, 'utf8'), print);
  if (sitePath === undefined || values.out === undefined) return printUsage(print);
  const site = parseSite(readFileSync(sitePath, 'utf8'));
  if (verb === 'worst') return writeDays(listWorstDays(site), site, values.out, print);
  if (verb !== 'draw' || values.kinds === undefined) return printUsage(print);
  const kinds = parseListedKinds(readFileSync(values.kinds, 'utf8'));
  const days: Day[] = [];
  for (let index = 0; index < parseNumber(values.days, 'days'); index += 1) {
    days.push(
      drawDay(site, {
        seed: parseNumber(values.seed, 'seed') + index,
        intensity: parseNumber(values.intensity, 'intensity'),
        lengthSeconds:
          values.length === undefined ? site.lengthSeconds : parseNumber(values.length, 'length'),
        kinds,
        clusters: parseNumber(values.clusters, 'clusters'),
        closingProbability: parseNumber(values.closing, 'closing'),
      }),
    );
  }
  return writeDays(days, site, values.out, print);
}

function printUsage(print: (line: string) => void): number {
  print(USAGE);
  return 2;
}

function printUnknown(listed: string, print: (line: string) => void): number {
  const unknown = findUnknownKinds(parseListedKinds(listed));
  for (const name of unknown) print(name);
  return unknown.length === 0 ? 0 : 1;
}

function writeDays(
  days: readonly Day[],
  site: Site,
  directory: string,
  print: (line: string) => void,
): number {
  mkdirSync(directory, { recursive: true });
  for (const day of days) {
    const path = join(directory, `${day.name}.toml`);
    writeFileSync(path, formatDay(day, site.smallVariantLine));
    print(path);
  }
  return 0;
}

function parseNumber(text: string, name: string): number {
  const value = Number(text);
  if (!Number.isFinite(value)) throw new TypeError(`--${name}: ${text} is not a number`);
  return value;
}
