/**
 * The leadership that this node has acted upon. The elector may already have decided otherwise; the takeover follows it
 * after each input.
 */
export class Leadership {
  #epoch = 0;
  #isServing = false;

  /** The epoch that this node leads in; 0 while it does not lead. */
  get epoch(): number {
    return this.#epoch;
  }

  /** Whether the complete state was read from a majority and rewritten in this epoch. Nothing is answered before. */
  get isServing(): boolean {
    return this.#isServing;
  }

  /** Begins to lead in an epoch, without serving yet; 0 ends the leadership. */
  begin(epoch: number): void {
    this.#epoch = epoch;
    this.#isServing = false;
  }

  /** The state was taken over: from now on this node serves. */
  serve(): void {
    this.#isServing = true;
  }
}
