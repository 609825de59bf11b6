/**
 * An event queue on virtual time, in milliseconds; a binary heap. Events due at the same time run in the order in which
 * they were added.
 */
export class Scheduler {
  readonly #heap: { readonly at: number; readonly order: number; readonly run: () => void }[] = [];
  #order = 0;
  #now = 0;

  /** The current virtual time, ms. */
  get now(): number {
    return this.#now;
  }

  /** Schedules `run` at a virtual time; a time in the past counts as now. */
  at(moment: number, run: () => void): void {
    this.#order += 1;
    const heap = this.#heap;
    heap.push({ at: Math.max(moment, this.#now), order: this.#order, run });
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(index, parent)) break;
      this.#swap(index, parent);
      index = parent;
    }
  }

  /** Schedules `run` after a delay in milliseconds. */
  after(millis: number, run: () => void): void {
    this.at(this.#now + millis, run);
  }

  /** Runs all events due up to and including `end`, then sets the time to `end`. */
  runUntil(end: number): void {
    for (let first = this.#heap[0]; first && first.at <= end; first = this.#heap[0]) {
      this.#pop();
      this.#now = first.at;
      first.run();
    }
    this.#now = end;
  }

  #isBefore(a: number, b: number): boolean {
    const [first, second] = [this.#heap[a], this.#heap[b]];
    if (!first || !second) return false;
    return first.at < second.at || (first.at === second.at && first.order < second.order);
  }

  #swap(a: number, b: number): void {
    const [first, second] = [this.#heap[a], this.#heap[b]];
    if (!first || !second) return;
    this.#heap[a] = second;
    this.#heap[b] = first;
  }

  #pop(): void {
    const last = this.#heap.pop();
    if (!last || this.#heap.length === 0) return;
    this.#heap[0] = last;
    for (let index = 0; ;) {
      const [left, right] = [index * 2 + 1, index * 2 + 2];
      let smallest = index;
      if (left < this.#heap.length && this.#isBefore(left, smallest)) smallest = left;
      if (right < this.#heap.length && this.#isBefore(right, smallest)) smallest = right;
      if (smallest === index) return;
      this.#swap(index, smallest);
      index = smallest;
    }
  }
}
