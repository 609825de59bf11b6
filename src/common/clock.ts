import { moment, type Moment } from './ids.js';

/** The monotonic clock of this process: it advances while the process is frozen, and ignores jumps of the wall clock. */
export function monotonicNow(): Moment {
  return moment(performance.now());
}
