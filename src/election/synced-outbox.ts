import type { Moment, NodeId } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { VoteEffect, VoteRecord } from './vote-effect.js';

/** An action that waits until the record with `token` is on disk. */
interface PendingAction {
  readonly token: number;
  readonly run: () => void;
}

/**
 * The records that a voter writes and the messages that it sends. No message that depends on a record is sent before
 * that record is on disk. Records are identified by increasing tokens.
 */
export class SyncedOutbox {
  #effects: VoteEffect[] = [];
  #pending: PendingAction[] = [];
  #lastToken = 0;
  #persistedToken = 0;
  #pendingSince: Moment;

  constructor(now: Moment) {
    this.#pendingSince = now;
  }

  /** Returns the queued effects in order, and clears the queue. */
  drain(): VoteEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Writes a record; messages sent from now on wait until it is on disk. */
  persist(record: VoteRecord, now: Moment): void {
    if (this.#persistedToken === this.#lastToken) this.#pendingSince = now;
    this.#lastToken += 1;
    this.persistInBackground(record);
  }

  /** Writes a record that no message waits for. */
  persistInBackground(record: VoteRecord): void {
    this.#effects.push({ do: 'persistVote', token: this.#lastToken, record });
  }

  /** Must be called when the record with this token is on disk; runs the actions that waited for it. */
  onPersisted(token: number): void {
    this.#persistedToken = Math.max(this.#persistedToken, token);
    const pending = this.#pending;
    this.#pending = [];
    for (const action of pending) {
      if (action.token <= this.#persistedToken) action.run();
      else this.#pending.push(action);
    }
  }

  /** Whether records have been waiting for the disk for more than `stallMs`. */
  isStalled(now: Moment, stallMs: number): boolean {
    return this.#persistedToken < this.#lastToken && now - this.#pendingSince > stallMs;
  }

  /** Calls `run` once every record written so far is on disk; immediately if they all are. */
  whenPersisted(run: () => void): void {
    if (this.#persistedToken >= this.#lastToken) run();
    else this.#pending.push({ token: this.#lastToken, run });
  }

  /** Sends a message once every record written so far is on disk. */
  send(to: NodeId, message: Message): void {
    this.whenPersisted(() => this.sendImmediately(to, message));
  }

  /** Sends a message that depends on no record, such as a ping. */
  sendImmediately(to: NodeId, message: Message): void {
    this.#effects.push({ do: 'send', to, message });
  }
}
