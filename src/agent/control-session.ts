import type { Moment } from '../common/ids.js';

/** Successive replies without a leader that are tolerated; after one more the session moves to another control node. */
const MAX_LEADERLESS_REPLIES = 1;

/** The state of an agent's session with its control node. */
export class ControlSession {
  readonly #timeoutMs: number;
  /** When the control node last replied, or was chosen. */
  #lastHeardAt: Moment;
  /** When any control node of the session last replied. */
  #repliedAt: Moment | undefined;
  #isMoving = false;
  #moves = 0;
  #isLeaderless = false;
  #leaderlessReplies = 0;

  /** A control node that has not replied for `timeoutMs` milliseconds counts as failed. */
  constructor(timeoutMs: number, now: Moment) {
    this.#timeoutMs = timeoutMs;
    this.#lastHeardAt = now;
  }

  /** How often the session moved to another control node. */
  get moves(): number {
    return this.#moves;
  }

  /** Whether the session moved to a control node that has not replied yet. */
  get isMoving(): boolean {
    return this.#isMoving;
  }

  /** Whether the control node that replied last knows no leader. */
  get isLeaderless(): boolean {
    return this.#isLeaderless;
  }

  /** Whether the control node sent too many successive replies without a leader. */
  get hasLeaderlessControlNode(): boolean {
    return this.#leaderlessReplies > MAX_LEADERLESS_REPLIES;
  }

  /** Whether the control node has not replied in time. */
  isTimedOut(now: Moment): boolean {
    return now - this.#lastHeardAt > this.#timeoutMs;
  }

  /** Time since a control node replied, in milliseconds; `undefined` if none has. */
  replyAgeMs(now: Moment): number | undefined {
    return this.#repliedAt === undefined ? undefined : now - this.#repliedAt;
  }

  /** Whether a control node replied within the timeout. A moving session stays open until the timeout has passed. */
  isOpen(now: Moment): boolean {
    const ageMs = this.replyAgeMs(now);
    return ageMs !== undefined && ageMs <= this.#timeoutMs;
  }

  /** Records a reply of the control node. */
  onReply(now: Moment): void {
    this.#lastHeardAt = now;
    this.#repliedAt = now;
    this.#isMoving = false;
  }

  /** Records the leader that the control node reported; empty if it knows none. */
  onLeader(leader: string): void {
    this.#isLeaderless = leader === '';
    this.#leaderlessReplies = this.#isLeaderless ? this.#leaderlessReplies + 1 : 0;
  }

  /** Records that another control node was chosen. */
  onMoved(now: Moment): void {
    this.#leaderlessReplies = 0;
    this.#moves += 1;
    this.#isMoving = true;
    this.#lastHeardAt = now;
  }
}
