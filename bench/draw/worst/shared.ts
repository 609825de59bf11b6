/** Durations and closing faults shared by the fixed days. */
import type { ClosingFault } from '../day.js';

/** The length of a day with many events. */
export const WORST_DAY_SECONDS = 60;
/** How long a control machine is cut off on the days of long cuts. */
export const LONG_CUT_SECONDS = 20;

/** All machines lose power. */
export const POWER_OFF: ClosingFault = { kind: 'power_off_all', down_s: 1 };
/** All processes are killed. */
export const KILL_ALL: ClosingFault = { kind: 'kill_all', down_s: 0.8 };
/** The machine that acknowledged the last change loses its disk. */
export const WIPE_AFTER_ACK: ClosingFault = { kind: 'wipe_after_ack', down_s: 1, how: 'aimed' };
/** The machine that acknowledged the last change loses its disk, soon after the change was sent. */
export const WIPE_AFTER_ACK_TIMED: ClosingFault = {
  kind: 'wipe_after_ack',
  down_s: 1,
  how: 'timed',
};
