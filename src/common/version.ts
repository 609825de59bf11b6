/** A version of a partition: the epoch of the leader that wrote it, and its count within the partition. */
export interface Version {
  readonly epoch: number;
  readonly count: number;
}

/** The version before the first write; older than any other. */
export const NO_VERSION: Version = { epoch: 0, count: 0 };

/**
 * Compares versions for sorting. The epoch goes first: a write of a later leader takes precedence over any write that an
 * earlier leader still had in progress.
 */
export function compareVersions(a: Version, b: Version): number {
  return a.epoch - b.epoch || a.count - b.count;
}

/** Whether version `a` is newer than `b`. */
export function isNewer(a: Version, b: Version): boolean {
  return compareVersions(a, b) > 0;
}

/** The version as text, such as `4.17`. */
export function versionText(a: Version): string {
  return `${a.epoch}.${a.count}`;
}

/**
 * How many versions `older` is behind `newer`; 0 if it is not. A new leader continues the count, so the difference of the
 * counts is the number of versions, but at least 1 if only the epoch differs.
 */
export function versionsBetween(older: Version, newer: Version): number {
  return isNewer(newer, older) ? Math.max(1, newer.count - older.count) : 0;
}
