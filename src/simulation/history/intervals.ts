/**
 * Finite unions of closed time intervals: the times at which an event of a history may have happened. The intervals of
 * a union are sorted and don't overlap.
 */

/** A closed time interval, ms. */
export interface Interval {
  readonly from: number;
  readonly to: number;
}

/** A union of intervals: sorted, without overlaps. */
export type Intervals = readonly Interval[];

function compareStarts(left: Interval, right: Interval): number {
  return left.from - right.from;
}

/** Returns the union of intervals in any order; those that end before they start are ignored. */
export function unionOf(intervals: Iterable<Interval>): Intervals {
  const sorted: Interval[] = [];
  for (const interval of intervals) {
    if (interval.from <= interval.to) sorted.push(interval);
  }
  sorted.sort(compareStarts);
  const joined: Interval[] = [];
  for (const interval of sorted) {
    const last = joined.at(-1);
    if (last === undefined || interval.from > last.to) joined.push(interval);
    else if (interval.to > last.to)
      joined[joined.length - 1] = { from: last.from, to: interval.to };
  }
  return joined;
}

/** Returns the part of a union that lies between two times, both included. */
export function clip(intervals: Intervals, from: number, to: number): Intervals {
  const parts: Interval[] = [];
  for (const interval of intervals) {
    parts.push({ from: Math.max(interval.from, from), to: Math.min(interval.to, to) });
  }
  return unionOf(parts);
}
