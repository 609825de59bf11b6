import type { Moment } from '../common/ids.js';

/** Replies of a control node without a leader, in a row, after which the session leaves it. */
const MAX_LEADERLESS_REPLIES = 1;

/** The state of an agent's session with its control node. */
export class ControlSession {
  readonly #timeoutMs: number;
  /** When the control node was heard last, or was chosen. */
  #lastHeardAt: Moment;
  /** When any control node of the session replied last. */
  #repliedAt: Moment | undefined;
  #isMoving = false;
  #moves = 0;
  #isLeaderless = false;
  #leaderlessReplies = 0;

  /** A control node that has not replied for `timeoutMs` has failed. */
  constructor(timeoutMs: number, now: Moment) {
    this.#timeoutMs = timeoutMs;
    this.#lastHeardAt = now;
  }

  /** How often the session moved to another control node. */
  get moves(): number {
    return this.#moves;
  }

  /** Whether it moved to a control node that has not replied yet. */
  get isMoving(): boolean {
    return this.#isMoving;
  }

  /** Whether the control node that replied last knows no leader. */
  get isLeaderless(): boolean {
    return this.#isLeaderless;
  }

  /** Whether replies without a leader came too often in a row. */
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

  /** Whether a control node replied lately. A session that moves is open until none replies in time. */
  isOpen(now: Moment): boolean {
    const ageMs = this.replyAgeMs(now);
    return ageMs !== undefined && ageMs <= this.#timeoutMs;
  }

  /** The control node replied. */
  onReply(now: Moment): void {
    this.#lastHeardAt = now;
    this.#repliedAt = now;
    this.#isMoving = false;
  }

  /** The control node named its leader; empty if it knows none. */
  onLeader(leader: string): void {
    this.#isLeaderless = leader === '';
    this.#leaderlessReplies = this.#isLeaderless ? this.#leaderlessReplies + 1 : 0;
  }

  /** Another control node was chosen. */
  onMoved(now: Moment): void {
    this.#leaderlessReplies = 0;
    this.#moves += 1;
    this.#isMoving = true;
    this.#lastHeardAt = now;
  }
}
