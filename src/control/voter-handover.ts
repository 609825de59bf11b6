import { later, type Moment } from '../common/ids.js';

/** How long a planned stop waits for a replacement: half of the time that a stop may take; the rest is for open requests. */
const HANDOVER_TIMEOUT_MS = 4000;
/** The leader replies at once: if there is no reply within this time and no known spare, the voter will not be replaced. */
const REPLY_TIMEOUT_MS = 600;
/** Interval between notifications; they are repeated since the leader may change. */
const NOTIFY_INTERVAL_MS = 200;

/**
 * The planned stop of a voter. The voter stays until a spare has replaced it through a joint configuration, so that the
 * number of live voters never falls. While this node knows no spare and the leader has not replied, it waits for
 * `REPLY_TIMEOUT_MS` only; otherwise until the leader permits the stop, for `HANDOVER_TIMEOUT_MS` at most.
 */
export class VoterHandover {
  readonly #beganAt: Moment;
  #notifiedAt: Moment | undefined;
  #hasReply = false;
  #isOver = false;

  constructor(now: Moment) {
    this.#beganAt = now;
  }

  /** Whether the voter may stop: it is replaced, no spare can replace it, or the wait timed out. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /** Whether a notification of the leader is due. */
  isNotifyDue(now: Moment): boolean {
    return this.#notifiedAt === undefined || now >= later(this.#notifiedAt, NOTIFY_INTERVAL_MS);
  }

  /** The leader was notified. */
  onNotified(now: Moment): void {
    this.#notifiedAt = now;
  }

  /** The leader replied whether the voter may stop: it is replaced, or no spare can replace it. */
  onReply(mayStop: boolean): void {
    this.#hasReply = true;
    if (mayStop) this.#isOver = true;
  }

  /** Ends the wait once it timed out; `hasSpare` is whether a spare is known here. */
  tick(now: Moment, hasSpare: boolean): void {
    const hasNoReplacement =
      !this.#hasReply && !hasSpare && now >= later(this.#beganAt, REPLY_TIMEOUT_MS);
    if (hasNoReplacement || now >= later(this.#beganAt, HANDOVER_TIMEOUT_MS)) this.#isOver = true;
  }
}
