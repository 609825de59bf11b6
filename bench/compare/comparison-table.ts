/** Compares the reports of two trees, day by day, and prints a table. */
import type { DayFigures } from './day-report.js';
import { meanDifference, type MeanDifference, type Pair } from './paired-differences.js';

/** Figures that moved by less than this in the mean are left out of the table, the worth excepted. */
const MIN_SHOWN_DIFFERENCE = 0.001;

/** The reports of the same day and seed by both trees. */
export interface DayPair {
  readonly day: string;
  readonly before: DayFigures;
  readonly after: DayFigures;
}

/** The lines of the table: the worth of each day, each figure that moved, and every broken rule. */
export function comparisonTable(days: readonly DayPair[]): string[] {
  const lines = [
    '| figure | pairs | before | after | difference |',
    '| --- | --- | --- | --- | --- |',
  ];
  for (const { day, before, after } of days)
    lines.push(row(`worth of ${day}`, meanDifference([pairOf('worth', before, after)])));
  for (const name of figureNames(days)) {
    const difference = meanDifference(pairsOf(name, days));
    if (name === 'worth' || Math.abs(difference.difference) >= MIN_SHOWN_DIFFERENCE)
      lines.push(row(`mean ${name}`, difference));
  }
  for (const { day, before, after } of days) {
    for (const rule of before.brokenRules) lines.push(`rule broken before on ${day}: ${rule}`);
    for (const rule of after.brokenRules) lines.push(`rule broken after on ${day}: ${rule}`);
  }
  return lines;
}

function figureNames(days: readonly DayPair[]): Set<string> {
  const names = new Set<string>();
  for (const { before, after } of days)
    for (const name of [...before.figures.keys(), ...after.figures.keys()]) names.add(name);
  return names;
}

function pairsOf(name: string, days: readonly DayPair[]): Pair[] {
  return days.map(({ before, after }) => pairOf(name, before, after));
}

/** A price or class that a report does not name is 0 there: nothing was charged, or nothing was asked. */
function pairOf(name: string, before: DayFigures, after: DayFigures): Pair {
  return { before: before.figures.get(name) ?? 0, after: after.figures.get(name) ?? 0 };
}

function row(
  name: string,
  { pairs, before, after, difference, halfWidth }: MeanDifference,
): string {
  const spread = halfWidth === undefined ? '' : ` ± ${halfWidth.toFixed(3)}`;
  const sign = difference < 0 ? '' : '+';
  return `| ${name} | ${pairs} | ${before.toFixed(3)} | ${after.toFixed(3)} | ${sign}${difference.toFixed(3)}${spread} |`;
}
