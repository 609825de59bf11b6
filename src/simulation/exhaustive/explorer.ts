/** A finite-branching transition system whose states can be told apart by a text. */
export interface Model<State> {
  readonly name: string;
  initial(): State;
  key(state: State): string;
  /** Visits every step that is possible in the state, in an order that never changes. */
  expand(state: State, visit: Visit<State>): void;
  /** The step in words, for a counterexample. */
  describe(state: State, step: number): string;
}

/** `violation` names the broken invariant; nothing where the step kept all of them. */
export type Visit<State> = (step: number, next: State, violation: string | undefined) => void;

/** What ends a search that finds no violation. */
export interface Bounds {
  /** Steps from the initial state. */
  readonly depth: number;
  /** Distinct states; a search that meets this bound is partial in its last depth. */
  readonly states: number;
}

export interface Counterexample {
  readonly invariant: string;
  readonly steps: readonly string[];
}

export interface Verdict {
  readonly model: string;
  /** The last depth that was explored completely. */
  readonly depth: number;
  readonly states: number;
  readonly transitions: number;
  /** Processor time: other work on the machine does not count. */
  readonly millis: number;
  /** Whether no state is left beyond the explored ones: then the depth bounds nothing. */
  readonly isExhausted: boolean;
  readonly counterexample: Counterexample | undefined;
}

/** V8 bounds one Set at 2^24 entries. */
const SHARDS = 64;

/** A set of texts larger than one Set may be. */
class TextSet {
  readonly #shards: Set<string>[] = [];
  #size = 0;

  constructor() {
    for (let index = 0; index < SHARDS; index += 1) this.#shards.push(new Set());
  }

  get size(): number {
    return this.#size;
  }

  /** Says whether the text was new. */
  add(text: string): boolean {
    let hash = 0;
    for (let at = 0; at < text.length; at += 1) hash = (hash * 31 + text.charCodeAt(at)) | 0;
    const shard = this.#shards[(hash >>> 7) % SHARDS];
    if (!shard || shard.has(text)) return false;
    shard.add(text);
    this.#size += 1;
    return true;
  }
}

/**
 * Breadth-first search over all states in reach. The first violation met has the fewest steps; it is returned as the
 * list of steps that leads to it.
 */
export class Explorer<State> {
  readonly #model: Model<State>;
  readonly #seen = new TextSet();
  /** The state before each one, and the step from there, by the order in which states were found. */
  readonly #parents: number[] = [];
  readonly #steps: number[] = [];
  #transitions = 0;

  constructor(model: Model<State>) {
    this.#model = model;
  }

  run(bounds: Bounds, progress: (verdict: Verdict) => void = ignore): Verdict {
    const began = process.cpuUsage();
    const model = this.#model;
    const first = model.initial();
    this.#add(model.key(first), -1, -1);
    let frontier: State[] = [first];
    let frontierStart = 0;
    let depth = 0;
    let invariant: string | undefined;
    let violating = { parent: -1, step: -1 };
    while (depth < bounds.depth && frontier.length > 0 && this.#seen.size < bounds.states) {
      const next: State[] = [];
      let parent = frontierStart;
      const take = (parent: number, step: number, after: State) =>
        this.#visit(next, parent, step, after);
      for (const state of frontier) {
        model.expand(state, (step: number, after: State, violation: string | undefined) => {
          if (invariant !== undefined) return;
          take(parent, step, after);
          if (violation === undefined) return;
          invariant = violation;
          violating = { parent, step };
        });
        if (invariant !== undefined || this.#seen.size >= bounds.states) break;
        parent += 1;
      }
      if (invariant !== undefined || this.#seen.size >= bounds.states) break;
      frontierStart += frontier.length;
      frontier = next;
      depth += 1;
      progress(this.#verdict(depth, began, false, undefined));
    }
    const counterexample =
      invariant === undefined ? undefined : { invariant, steps: this.#path(first, violating) };
    return this.#verdict(depth, began, frontier.length === 0, counterexample);
  }

  #visit(next: State[], parent: number, step: number, after: State): void {
    this.#transitions += 1;
    if (this.#add(this.#model.key(after), parent, step)) next.push(after);
  }

  #add(key: string, parent: number, step: number): boolean {
    if (!this.#seen.add(key)) return false;
    this.#parents.push(parent);
    this.#steps.push(step);
    return true;
  }

  #verdict(
    depth: number,
    began: NodeJS.CpuUsage,
    isExhausted: boolean,
    counterexample: Counterexample | undefined,
  ): Verdict {
    return {
      model: this.#model.name,
      depth,
      states: this.#seen.size,
      transitions: this.#transitions,
      millis: millisSince(began),
      isExhausted,
      counterexample,
    };
  }

  /** Walks the steps again from the initial state, to say each in words. */
  #path(first: State, last: { readonly parent: number; readonly step: number }): string[] {
    const steps = [last.step];
    for (let at = last.parent; at > 0; at = this.#parents[at] ?? 0) {
      steps.unshift(this.#steps[at] ?? -1);
    }
    const texts: string[] = [];
    let state = first;
    for (const step of steps) {
      texts.push(this.#model.describe(state, step));
      state = this.#after(state, step);
    }
    return texts;
  }

  #after(state: State, step: number): State {
    let found = state;
    this.#model.expand(state, (candidate: number, next: State) => {
      if (candidate === step) found = next;
    });
    return found;
  }
}

function ignore(): void {
  /* nobody asked for progress */
}

function millisSince(began: NodeJS.CpuUsage): number {
  const { user, system } = process.cpuUsage(began);
  return Math.round((user + system) / 1000);
}
