import type { Moment, NodeId } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { VoteEffect, VoteRecord } from './vote-effect.js';

interface PendingAction {
  readonly token: number;
  readonly run: () => void;
}

/**
 * What a voter wants written and sent. Nothing that rests on a record leaves before that record is on disk; records that
 * are written are told by their token, which grows.
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

  drain(): VoteEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Writes a record; what is sent from now on waits for it. */
  persist(record: VoteRecord, now: Moment): void {
    if (this.#persistedToken === this.#lastToken) this.#pendingSince = now;
    this.#lastToken += 1;
    this.persistInBackground(record);
  }

  /** Writes a record for which nothing waits. */
  persistInBackground(record: VoteRecord): void {
    this.#effects.push({ do: 'persistVote', token: this.#lastToken, record });
  }

  /** Told when the record with that token is on disk. */
  onPersisted(token: number): void {
    this.#persistedToken = Math.max(this.#persistedToken, token);
    const pending = this.#pending;
    this.#pending = [];
    for (const item of pending) {
      if (item.token <= this.#persistedToken) item.run();
      else this.#pending.push(item);
    }
  }

  /** Whether a record has been waiting for the disk for longer than that, in milliseconds. */
  isStalled(now: Moment, stallMs: number): boolean {
    return this.#persistedToken < this.#lastToken && now - this.#pendingSince > stallMs;
  }

  /** Runs once every record written so far is on disk: at once where they are. */
  whenPersisted(run: () => void): void {
    if (this.#persistedToken >= this.#lastToken) run();
    else this.#pending.push({ token: this.#lastToken, run });
  }

  /** Sends after every record written so far. */
  send(to: NodeId, message: Message): void {
    this.whenPersisted(() => this.sendImmediately(to, message));
  }

  /** Sends at once: for what rests on no record, as pings do. */
  sendImmediately(to: NodeId, message: Message): void {
    this.#effects.push({ do: 'send', to, message });
  }
}
