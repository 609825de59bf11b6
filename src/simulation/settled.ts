import { SETTLE_MS } from './contract-bounds.js';

/** Since when the core has been free of trouble, by the contract's meaning of `settled`. */
export class Settled {
  readonly #now: () => number;
  #since = 0;
  #unsteadyFaults = 0;

  constructor(now: () => number) {
    this.#now = now;
  }

  /** Something was killed, started, frozen, thawed, cut off or joined; after the loss of most it takes longer. */
  disturb(factor: number = 1): void {
    this.#since = Math.max(this.#since, this.#now() + SETTLE_MS * factor);
  }

  /** Something is slow, stalled or lossy from now on. */
  beginUnsteady(): void {
    this.#unsteadyFaults += 1;
  }

  endUnsteady(): void {
    this.#unsteadyFaults -= 1;
    this.disturb();
  }

  /** Whether nothing has disturbed the core from that moment until now. */
  isSettledSince(moment: number): boolean {
    return this.#unsteadyFaults === 0 && this.#since <= moment;
  }
}
