import { setImmediate as nextTurn } from 'node:timers/promises';
import { later, moment, type Moment } from '../common/ids.js';

/** A tick that is late by more than this was held up by a stall of the whole process. */
const STALLED_MS = 500;
/** For so long after it what is read may have lain in a socket since before. */
const WAKING_MS = 100;
/** Turns of the event loop in which the ends of connections are read that lie behind what was read first. */
const TURNS = 3;

/**
 * Notices that the process stood still, frozen or starved. What is then read first was written any time before, and the
 * end of the same connection may lie right behind it: nothing is begun for anybody before that was read too.
 */
export class StallGuard {
  readonly #now: () => Moment;
  #tickedAt: Moment;
  #wakingUntil: Moment = moment(-1);

  constructor(now: () => Moment) {
    this.#now = now;
    this.#tickedAt = now();
  }

  /** Called regularly while the process runs. */
  tick(): void {
    const now = this.#now();
    if (now - this.#tickedAt > STALLED_MS) this.#wakingUntil = later(now, WAKING_MS);
    this.#tickedAt = now;
  }

  get isWaking(): boolean {
    const now = this.#now();
    return now - this.#tickedAt > STALLED_MS || now < this.#wakingUntil;
  }

  /** Resolves once everything that lay in the sockets has been read. */
  async settle(): Promise<void> {
    for (let turn = 0; turn < TURNS; turn += 1) await nextTurn();
  }
}
