/**
 * Finite unions of closed intervals of time: the moments at which an event of a history may have happened.
 * A union is kept sorted and without overlaps.
 */

export interface Interval {
  readonly from: number;
  readonly to: number;
}

export type Intervals = readonly Interval[];

function byStart(left: Interval, right: Interval): number {
  return left.from - right.from;
}

/** Joins any number of intervals; those that end before they begin are left out. */
export function unionOf(intervals: Iterable<Interval>): Intervals {
  const sorted: Interval[] = [];
  for (const interval of intervals) {
    if (interval.from <= interval.to) sorted.push(interval);
  }
  sorted.sort(byStart);
  const joined: Interval[] = [];
  for (const interval of sorted) {
    const last = joined.at(-1);
    if (last === undefined || interval.from > last.to) joined.push(interval);
    else if (interval.to > last.to)
      joined[joined.length - 1] = { from: last.from, to: interval.to };
  }
  return joined;
}

/** The part of a union that lies between two moments, both included. */
export function clip(intervals: Intervals, from: number, to: number): Intervals {
  const parts: Interval[] = [];
  for (const interval of intervals) {
    parts.push({ from: Math.max(interval.from, from), to: Math.min(interval.to, to) });
  }
  return unionOf(parts);
}
