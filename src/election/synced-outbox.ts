import type { Moment, NodeId } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { VoteEffect, VoteRecord } from './vote-effect.js';

interface Held {
  readonly token: number;
  readonly run: () => void;
}

/**
 * What a voter wants written and sent. Nothing that rests on a record leaves before that record is on disk; records that
 * are written are told by their token, which grows.
 */
export class SyncedOutbox {
  #effects: VoteEffect[] = [];
  #held: Held[] = [];
  #token = 0;
  #kept = 0;
  #keepSince: Moment;

  constructor(now: Moment) {
    this.#keepSince = now;
  }

  drain(): VoteEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Writes a record; what is sent from now on waits for it. */
  keep(record: VoteRecord, now: Moment): void {
    if (this.#kept === this.#token) this.#keepSince = now;
    this.#token += 1;
    this.keepUnawaited(record);
  }

  /** Writes a record for which nothing waits. */
  keepUnawaited(record: VoteRecord): void {
    this.#effects.push({ do: 'keep', token: this.#token, record });
  }

  /** Told when the record with that token is on disk. */
  kept(token: number): void {
    this.#kept = Math.max(this.#kept, token);
    const held = this.#held;
    this.#held = [];
    for (const item of held) {
      if (item.token <= this.#kept) item.run();
      else this.#held.push(item);
    }
  }

  /** Whether a record has been waiting for the disk for longer than that, in milliseconds. */
  isStalled(now: Moment, stallMs: number): boolean {
    return this.#kept < this.#token && now - this.#keepSince > stallMs;
  }

  /** Runs once every record written so far is on disk: at once where they are. */
  afterKept(run: () => void): void {
    if (this.#kept >= this.#token) run();
    else this.#held.push({ token: this.#token, run });
  }

  /** Sends after every record written so far. */
  send(to: NodeId, message: Message): void {
    this.afterKept(() => this.sendUnsynced(to, message));
  }

  /** Sends at once: for what rests on no record, as pings do. */
  sendUnsynced(to: NodeId, message: Message): void {
    this.#effects.push({ do: 'send', to, message });
  }
}
