/** Whether this node leads, as far as it has acted upon it. */
export class Leadership {
  #epoch = 0;
  #isServing = false;

  /** The epoch that this node leads in; 0 while it does not. */
  get epoch(): number {
    return this.#epoch;
  }

  /** Whether the whole state was read from a majority and rewritten in this epoch; not a tick earlier. */
  get isServing(): boolean {
    return this.#isServing;
  }

  /** Begins to lead in an epoch, or with 0 leads no longer. */
  begin(epoch: number): void {
    this.#epoch = epoch;
    this.#isServing = false;
  }

  serve(): void {
    this.#isServing = true;
  }
}
