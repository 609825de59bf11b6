import Denque from 'denque';

/** The one owner of a table: commands wait in order and are worked through one after the other, never nested. */
export class SerialQueue {
  readonly #pending = new Denque<() => void>();
  #isWorking = false;

  submit(command: () => void): void {
    this.#pending.push(command);
    if (this.#isWorking) return;
    this.#isWorking = true;
    try {
      for (let next = this.#pending.shift(); next; next = this.#pending.shift()) next();
    } finally {
      this.#isWorking = false;
    }
  }
}
