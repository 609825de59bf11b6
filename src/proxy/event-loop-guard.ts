import { setImmediate as nextTurn } from 'node:timers/promises';
import { later, moment, type Moment } from '../common/ids.js';

/** A longer gap between ticks means that the whole process was stalled. */
const EVENT_LOOP_STALL_MS = 500;
/** For this long after a stall, data that is read may have been in a socket's buffer since the stall. */
const RECOVERY_MS = 100;
/** Event loop turns that it takes to read the end of a connection behind the data that is read first. */
const DRAIN_EVENT_LOOP_TURNS = 3;

/**
 * Detects that the process was stalled, for instance suspended or without CPU time. Data that is read right after a stall
 * may have been written long before, and the end of its connection may follow directly. No request must be started before
 * that has been read too, as its client may be gone.
 */
export class EventLoopGuard {
  readonly #now: () => Moment;
  #lastTickAt: Moment;
  #recoveringUntil: Moment = moment(-1);

  constructor(now: () => Moment) {
    this.#now = now;
    this.#lastTickAt = now();
  }

  /** To be called regularly while the process runs. */
  tick(): void {
    const now = this.#now();
    if (now - this.#lastTickAt > EVENT_LOOP_STALL_MS)
      this.#recoveringUntil = later(now, RECOVERY_MS);
    this.#lastTickAt = now;
  }

  /** Whether the process is stalled or was until a moment ago, so that unread data may be old. */
  get isRecovering(): boolean {
    const now = this.#now();
    return now - this.#lastTickAt > EVENT_LOOP_STALL_MS || now < this.#recoveringUntil;
  }

  /** Resolves once all data that was in the sockets' buffers has been read. */
  async drainSockets(): Promise<void> {
    for (let turn = 0; turn < DRAIN_EVENT_LOOP_TURNS; turn += 1) await nextTurn();
  }
}
