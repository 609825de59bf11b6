/** Named counters of a process. Frequent events are counted; only changes of state are logged. */
export class Counters {
  readonly #counts = new Map<string, number>();

  /** Adds to a counter; one that does not exist starts at 0. */
  add(name: string, count = 1): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + count);
  }

  /** Sets a counter. */
  set(name: string, value: number): void {
    this.#counts.set(name, value);
  }

  /** The value of a counter; 0 if it does not exist. */
  get(name: string): number {
    return this.#counts.get(name) ?? 0;
  }

  /** All counters, sorted by name. */
  all(): Record<string, number> {
    return Object.fromEntries([...this.#counts].sort());
  }
}
