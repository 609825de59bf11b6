import { later, type Moment } from '../common/ids.js';

/** A planned stop waits so long for its seat to be taken over: half of what a stop may take, the rest is for calls. */
const HANDOVER_TIMEOUT_MS = 4000;
/** The leader answers at once: without any word for so long, and without a spare known here, nobody takes the seat. */
const REPLY_TIMEOUT_MS = 600;
/** How often the leader is told, since it may change meanwhile. */
const NOTIFY_INTERVAL_MS = 200;

/**
 * The stop of a voter as planned: it stays until its seat has been taken over by a spare, through the joint set, so that
 * the number of voters alive never falls. It does not stay where no spare has announced itself.
 */
export class VoterHandover {
  readonly #beganAt: Moment;
  #notifiedAt: Moment | undefined;
  #isAnswered = false;
  #isOver = false;

  constructor(now: Moment) {
    this.#beganAt = now;
  }

  get isOver(): boolean {
    return this.#isOver;
  }

  /** Whether the leader is to be told now that this voter leaves. */
  isNotifyDue(now: Moment): boolean {
    if (this.#notifiedAt !== undefined && now < later(this.#notifiedAt, NOTIFY_INTERVAL_MS))
      return false;
    this.#notifiedAt = now;
    return true;
  }

  /** The leader's answer: whether the voter may stop, since its seat is taken over or nobody is there to take it. */
  onReply(mayStop: boolean): void {
    this.#isAnswered = true;
    if (mayStop) this.#isOver = true;
  }

  tick(now: Moment, hasSpare: boolean): void {
    const isUnanswered =
      !this.#isAnswered && !hasSpare && now >= later(this.#beganAt, REPLY_TIMEOUT_MS);
    if (isUnanswered || now >= later(this.#beganAt, HANDOVER_TIMEOUT_MS)) this.#isOver = true;
  }
}
