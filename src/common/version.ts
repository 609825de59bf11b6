/** A version is the epoch of the leader that wrote it and its count within the part. */
export interface Version {
  readonly epoch: number;
  readonly count: number;
}

export const NO_VERSION: Version = { epoch: 0, count: 0 };

// The epoch goes first: a later leader's rewriting always outranks what an older leader still had under way.
export function compareVersions(a: Version, b: Version): number {
  return a.epoch - b.epoch || a.count - b.count;
}

export function isNewer(a: Version, b: Version): boolean {
  return compareVersions(a, b) > 0;
}

export function versionText(a: Version): string {
  return `${a.epoch}.${a.count}`;
}

/**
 * How many versions `older` is behind `newer`; 0 if it is not. Counts go on over a change of leader, so that their
 * difference is the number of versions between them, and one where only the term differs.
 */
export function versionsBetween(older: Version, newer: Version): number {
  return isNewer(newer, older) ? Math.max(1, newer.count - older.count) : 0;
}
