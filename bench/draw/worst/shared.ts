/** Lengths and closing faults that the fixed days share. */
import type { Closing } from '../day.js';

/** The length of a day with many troubles. */
export const WORST_DAY_SECONDS = 60;
/** How long a control machine is cut off on the days of long cuts. */
export const LONG_CUT_SECONDS = 20;

/** All machines lose power. */
export const POWER_OFF: Closing = { kind: 'power_off_all', down_s: 1 };
/** All processes are killed. */
export const KILL: Closing = { kind: 'kill_all', down_s: 0.8 };
/** The machine that acknowledged loses its disk. */
export const WIPE: Closing = { kind: 'wipe_after_ack', down_s: 1, how: 'aimed' };
/** The same, soon after a change was sent. */
export const WIPE_SOON: Closing = { kind: 'wipe_after_ack', down_s: 1, how: 'timed' };
