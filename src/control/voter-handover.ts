import { later, type Moment } from '../common/ids.js';

/** How long a planned stop waits for a replacement: half of the time that a stop may take, the rest is for open requests. */
const HANDOVER_TIMEOUT_MS = 4000;
/** The leader replies at once: without a reply within this time, and without a known spare, there is no replacement. */
const REPLY_TIMEOUT_MS = 600;
/** How often the leader is notified: it may change in the meantime. */
const NOTIFY_INTERVAL_MS = 200;

/**
 * The planned stop of a voter. It stays until a spare has replaced it, by way of a joint configuration, so that the number
 * of live voters never falls. It does not wait if no spare has announced itself.
 */
export class VoterHandover {
  readonly #beganAt: Moment;
  #notifiedAt: Moment | undefined;
  #hasReply = false;
  #isOver = false;

  constructor(now: Moment) {
    this.#beganAt = now;
  }

  /** Whether the voter may stop: it is replaced, nobody can replace it, or the wait timed out. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /** Whether the leader has to be notified now that this voter is to stop. */
  isNotifyDue(now: Moment): boolean {
    return this.#notifiedAt === undefined || now >= later(this.#notifiedAt, NOTIFY_INTERVAL_MS);
  }

  /** The leader was notified. */
  onNotified(now: Moment): void {
    this.#notifiedAt = now;
  }

  /** The leader's reply: whether the voter may stop, since it is replaced or nobody can replace it. */
  onReply(mayStop: boolean): void {
    this.#hasReply = true;
    if (mayStop) this.#isOver = true;
  }

  /** Ends the wait when it timed out; `hasSpare` says whether a spare is known here. */
  tick(now: Moment, hasSpare: boolean): void {
    const hasNoReplacement =
      !this.#hasReply && !hasSpare && now >= later(this.#beganAt, REPLY_TIMEOUT_MS);
    if (hasNoReplacement || now >= later(this.#beganAt, HANDOVER_TIMEOUT_MS)) this.#isOver = true;
  }
}
