import { IN_TOUCH_MS } from './contract-bounds.js';

/** Since when the core has been free of trouble, by the contract's meaning of `settled`. */
export class Settled {
  readonly #now: () => number;
  #since = 0;
  #unsteady = 0;

  constructor(now: () => number) {
    this.#now = now;
  }

  /** Something was killed, started, frozen, thawed, cut off or joined; after the loss of most it takes longer. */
  disturb(factor: number = 1): void {
    this.#since = Math.max(this.#since, this.#now() + IN_TOUCH_MS * factor);
  }

  /** Something is slow, stalled or lossy from now on. */
  beginUnsteady(): void {
    this.#unsteady += 1;
  }

  endUnsteady(): void {
    this.#unsteady -= 1;
    this.disturb();
  }

  /** Whether nothing has disturbed the core from that moment until now. */
  isSince(moment: number): boolean {
    return this.#unsteady === 0 && this.#since <= moment;
  }
}
