/** Counters come before log lines: what happens often is counted, and only changes of state are told. */
export class Counters {
  readonly #counts = new Map<string, number>();

  add(name: string, count = 1): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + count);
  }

  set(name: string, value: number): void {
    this.#counts.set(name, value);
  }

  get(name: string): number {
    return this.#counts.get(name) ?? 0;
  }

  all(): Record<string, number> {
    return Object.fromEntries([...this.#counts].sort());
  }
}
