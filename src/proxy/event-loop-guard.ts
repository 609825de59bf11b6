import { setImmediate as nextTurn } from 'node:timers/promises';
import { later, moment, type Moment } from '../common/ids.js';

/** A tick that is late by more than this was held up by a stall of the whole process. */
const EVENT_LOOP_STALL_MS = 500;
/** For so long after it what is read may have lain in a socket since before. */
const RECOVERY_MS = 100;
/** Turns of the event loop in which the ends of connections are read that lie behind what was read first. */
const DRAIN_EVENT_LOOP_TURNS = 3;

/**
 * Notices that the process stood still, frozen or starved. What is then read first was written any time before, and the
 * end of the same connection may lie right behind it: nothing is begun for anybody before that was read too.
 */
export class EventLoopGuard {
  readonly #now: () => Moment;
  #lastTickAt: Moment;
  #recoveringUntil: Moment = moment(-1);

  constructor(now: () => Moment) {
    this.#now = now;
    this.#lastTickAt = now();
  }

  /** Called regularly while the process runs. */
  tick(): void {
    const now = this.#now();
    if (now - this.#lastTickAt > EVENT_LOOP_STALL_MS)
      this.#recoveringUntil = later(now, RECOVERY_MS);
    this.#lastTickAt = now;
  }

  get isRecovering(): boolean {
    const now = this.#now();
    return now - this.#lastTickAt > EVENT_LOOP_STALL_MS || now < this.#recoveringUntil;
  }

  /** Resolves once everything that lay in the sockets has been read. */
  async drainSockets(): Promise<void> {
    for (let turn = 0; turn < DRAIN_EVENT_LOOP_TURNS; turn += 1) await nextTurn();
  }
}
