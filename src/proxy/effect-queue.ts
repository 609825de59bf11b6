import type { DispatchEffect } from './dispatch-types.js';

/** Effects that the forwarder has not drained yet, in their order. */
export class EffectQueue {
  #effects: DispatchEffect[] = [];

  /** Appends an effect. */
  push(effect: DispatchEffect): void {
    this.#effects.push(effect);
  }

  /** Removes and returns all effects since the last call. */
  drain(): DispatchEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }
}
