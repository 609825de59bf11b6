/**
 * The leadership that this node has applied. The elector may already be in another state; `Takeover` applies its state
 * after each input.
 */
export class Leadership {
  #epoch = 0;
  #isServing = false;

  /** The epoch that this node leads in; 0 while it does not lead. */
  get epoch(): number {
    return this.#epoch;
  }

  /** Whether the complete state was read from a majority and rewritten in this epoch; this node answers nothing before. */
  get isServing(): boolean {
    return this.#isServing;
  }

  /** Begins to lead in an epoch, without serving yet; an epoch of 0 ends the leadership. */
  begin(epoch: number): void {
    this.#epoch = epoch;
    this.#isServing = false;
  }

  /** Begins to serve: this node has taken over the state. */
  serve(): void {
    this.#isServing = true;
  }
}
