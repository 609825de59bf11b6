/** Compares the reports of two checkouts day by day and formats a table. */
import type { DayFigures } from './day-report.js';
import { meanDifference, type MeanDifference, type Pair } from './paired-differences.js';

/** Figures whose mean changed by less than this are left out of the table, except the worth. */
const MIN_SHOWN_DIFFERENCE = 0.001;

/** The reports of both checkouts for the same day and seed. */
export interface DayPair {
  readonly day: string;
  readonly before: DayFigures;
  readonly after: DayFigures;
}

/** Formats the lines of the table: the worth of each day, each figure that changed, and every broken rule. */
export function comparisonTable(days: readonly DayPair[]): string[] {
  const lines = [
    '| figure | pairs | before | after | difference |',
    '| --- | --- | --- | --- | --- |',
  ];
  for (const { day, before, after } of days)
    lines.push(formatRow(`worth of ${day}`, meanDifference([makePair('worth', before, after)])));
  for (const name of listFigureNames(days)) {
    const difference = meanDifference(makePairs(name, days));
    if (name === 'worth' || Math.abs(difference.difference) >= MIN_SHOWN_DIFFERENCE)
      lines.push(formatRow(`mean ${name}`, difference));
  }
  for (const { day, before, after } of days) {
    for (const rule of before.brokenRules) lines.push(`rule broken before on ${day}: ${rule}`);
    for (const rule of after.brokenRules) lines.push(`rule broken after on ${day}: ${rule}`);
  }
  return lines;
}

function listFigureNames(days: readonly DayPair[]): Set<string> {
  const names = new Set<string>();
  for (const { before, after } of days)
    for (const name of [...before.figures.keys(), ...after.figures.keys()]) names.add(name);
  return names;
}

function makePairs(name: string, days: readonly DayPair[]): Pair[] {
  return days.map(({ before, after }) => makePair(name, before, after));
}

/** A price or class that is missing from a report counts as 0: nothing was charged, or there were no requests. */
function makePair(name: string, before: DayFigures, after: DayFigures): Pair {
  return { before: before.figures.get(name) ?? 0, after: after.figures.get(name) ?? 0 };
}

function formatRow(
  name: string,
  { pairs, before, after, difference, halfWidth }: MeanDifference,
): string {
  const interval = halfWidth === undefined ? '' : ` ± ${halfWidth.toFixed(3)}`;
  const sign = difference < 0 ? '' : '+';
  return `| ${name} | ${pairs} | ${before.toFixed(3)} | ${after.toFixed(3)} | ${sign}${difference.toFixed(3)}${interval} |`;
}
