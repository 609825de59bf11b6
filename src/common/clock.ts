import { moment, type Moment } from './ids.js';

/** The monotonic clock of this process: it goes on through freezes, and wall-clock jumps do not touch it. */
export function monotonicNow(): Moment {
  return moment(performance.now());
}
