import { SETTLE_MS } from './contract-bounds.js';

/** Tracks since when the core has been settled, as defined by the contract. */
export class Settled {
  readonly #now: () => number;
  #since = 0;
  #unsteadyFaults = 0;

  constructor(now: () => number) {
    this.#now = now;
  }

  /**
   * Records a disturbance: a node was killed, started, frozen, thawed, cut off or added. `factor` multiplies the time to
   * settle, which is longer after the loss of most nodes.
   */
  disturb(factor: number = 1): void {
    this.#since = Math.max(this.#since, this.#now() + SETTLE_MS * factor);
  }

  /** Begins a fault during which the core is never settled: something is slow, stalled or lossy. */
  beginUnsteady(): void {
    this.#unsteadyFaults += 1;
  }

  /** Ends such a fault, which is a disturbance as well. */
  endUnsteady(): void {
    this.#unsteadyFaults -= 1;
    this.disturb();
  }

  /** Whether the core has been settled from that time until now. */
  isSettledSince(moment: number): boolean {
    return this.#unsteadyFaults === 0 && this.#since <= moment;
  }
}
