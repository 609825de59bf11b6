/** A transition system with finite branching, whose states are identified by a text. */
export interface Model<State> {
  readonly name: string;
  /** The state in which a search begins. */
  initial(): State;
  /** A text that is equal for equal states. */
  key(state: State): string;
  /** Visits every step that is possible in the state, in a deterministic order. */
  expand(state: State, visit: Visit<State>): void;
  /** Describes the step for a counterexample. */
  describe(state: State, step: number): string;
}

/** Called for each possible step; `violation` names the broken invariant, undefined if all hold. */
export type Visit<State> = (step: number, next: State, violation: string | undefined) => void;

/** Limits of a search that finds no violation. */
export interface Bounds {
  /** Steps from the initial state. */
  readonly depth: number;
  /** Distinct states; a search that reaches this bound is incomplete at its last depth. */
  readonly states: number;
}

/** A violation, with the steps that lead to it from the initial state. */
export interface Counterexample {
  readonly invariant: string;
  readonly steps: readonly string[];
}

/** The result of a search. */
export interface Verdict {
  readonly model: string;
  /** The last depth that was explored completely. */
  readonly depth: number;
  readonly states: number;
  readonly transitions: number;
  /** CPU time, in milliseconds: other load on the machine does not count. */
  readonly millis: number;
  /** Whether every reachable state was explored, so that the depth was not a limit. */
  readonly isExhausted: boolean;
  readonly counterexample: Counterexample | undefined;
}

/** Number of Sets among which the texts are divided, since V8 limits one Set to 2^24 entries. */
const SHARD_COUNT = 64;

/** A set of texts that may be larger than one Set. */
class TextSet {
  readonly #shards: Set<string>[] = [];
  #size = 0;

  constructor() {
    for (let index = 0; index < SHARD_COUNT; index += 1) this.#shards.push(new Set());
  }

  get size(): number {
    return this.#size;
  }

  /** Returns whether the text was new. */
  add(text: string): boolean {
    let hash = 0;
    for (let at = 0; at < text.length; at += 1) hash = (hash * 31 + text.charCodeAt(at)) | 0;
    const shard = this.#shards[(hash >>> 7) % SHARD_COUNT];
    if (!shard || shard.has(text)) return false;
    shard.add(text);
    this.#size += 1;
    return true;
  }
}

/**
 * Breadth-first search over all reachable states. The first violation found is one with the fewest steps; it is returned as
 * the list of steps that leads to it.
 */
export class Explorer<State> {
  readonly #model: Model<State>;
  readonly #seen = new TextSet();
  /** The predecessor of each state and the step from it, by the order in which the states were found. */
  readonly #parents: number[] = [];
  readonly #steps: number[] = [];
  #transitions = 0;

  constructor(model: Model<State>) {
    this.#model = model;
  }

  /** Searches until a violation, the bounds or the last reachable state; reports progress after each depth. */
  run(bounds: Bounds, progress: (verdict: Verdict) => void = ignore): Verdict {
    const cpuAtStart = process.cpuUsage();
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
      progress(this.#verdict(depth, cpuAtStart, false, undefined));
    }
    const counterexample =
      invariant === undefined ? undefined : { invariant, steps: this.#path(first, violating) };
    return this.#verdict(depth, cpuAtStart, frontier.length === 0, counterexample);
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
    cpuAtStart: NodeJS.CpuUsage,
    isExhausted: boolean,
    counterexample: Counterexample | undefined,
  ): Verdict {
    return {
      model: this.#model.name,
      depth,
      states: this.#seen.size,
      transitions: this.#transitions,
      millis: millisSince(cpuAtStart),
      isExhausted,
      counterexample,
    };
  }

  /** Repeats the steps from the initial state, to describe each. */
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
  /* the caller does not need progress */
}

function millisSince(cpuAtStart: NodeJS.CpuUsage): number {
  const { user, system } = process.cpuUsage(cpuAtStart);
  return Math.round((user + system) / 1000);
}
