import type { DispatchEffect } from './dispatch-types.js';

/** Effects that the forwarder has not drained yet, in the order in which they came about. */
export class EffectQueue {
  #effects: DispatchEffect[] = [];

  /** Adds one at the end. */
  push(effect: DispatchEffect): void {
    this.#effects.push(effect);
  }

  /** All that came about since the last call. */
  drain(): DispatchEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }
}
