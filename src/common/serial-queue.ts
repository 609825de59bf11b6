import Denque from 'denque';

/** Runs commands one after the other in the order of submission, never nested, so that state has a single writer. */
export class SerialQueue {
  readonly #pending = new Denque<() => void>();
  #isRunning = false;

  /** Runs a command at once, or after the pending ones if it is called from within a command. */
  submit(command: () => void): void {
    this.#pending.push(command);
    if (this.#isRunning) return;
    this.#isRunning = true;
    try {
      for (let next = this.#pending.shift(); next; next = this.#pending.shift()) next();
    } finally {
      this.#isRunning = false;
    }
  }
}
