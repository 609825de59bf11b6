/** A runner that works on requests in batches: each step reads a piece of waiting prompts and makes a token for each other. */

/** The engine's figures, as deployments state theirs: ms, tokens, and requests at once. */
const STEP_MS = 6.73;
const STEP_MS_PER_REQUEST = 0.022;
const PREFILL_TOKENS_PER_MS = 30.6;
const PREFILL_CHUNK_TOKENS = 1024;
const SLOTS = 48;

/** A request at a runner; the callbacks are called once each. */
export interface BatchJob {
  promptTokens: number;
  outputTokens: number;
  hasStarted: boolean;
  readonly onFirstToken: () => void;
  readonly onEnd: () => void;
}

/** Runs a callback so many ms from now. */
export type RunLater = (delayMs: number, callback: () => void) => void;

/** One runner on virtual time. */
export class BatchRunner {
  readonly #runLater: RunLater;
  readonly #slowness: number;
  readonly #queue: BatchJob[] = [];
  #active: BatchJob[] = [];
  #isStepping = false;
  /** Requests that came so far. */
  arrivals = 0;

  /** `slowness`: how many times as long its steps take. */
  constructor(runLater: RunLater, slowness: number) {
    this.#runLater = runLater;
    this.#slowness = slowness;
  }

  /** A request arrived. */
  add(job: BatchJob): void {
    this.arrivals += 1;
    this.#queue.push(job);
    this.#step();
  }

  #step(): void {
    if (this.#isStepping) return;
    while (this.#active.length < SLOTS && this.#queue.length > 0) {
      const next = this.#queue.shift();
      if (next) this.#active.push(next);
    }
    if (this.#active.length === 0) return;
    const decoding = this.#active.filter(({ promptTokens }) => promptTokens <= 0);
    const prefillTokens = this.#prefill();
    const tookMs =
      STEP_MS + this.#active.length * STEP_MS_PER_REQUEST + prefillTokens / PREFILL_TOKENS_PER_MS;
    this.#isStepping = true;
    this.#runLater(tookMs * this.#slowness, () => this.#endStep(decoding));
  }

  #prefill(): number {
    let left = PREFILL_CHUNK_TOKENS;
    for (const job of this.#active) {
      const tokens = Math.min(left, Math.max(0, job.promptTokens));
      job.promptTokens -= tokens;
      left -= tokens;
    }
    return PREFILL_CHUNK_TOKENS - left;
  }

  #endStep(decoding: readonly BatchJob[]): void {
    this.#isStepping = false;
    for (const job of decoding) {
      if (!job.hasStarted) job.onFirstToken();
      job.hasStarted = true;
      job.outputTokens -= 1;
      if (job.outputTokens <= 0) job.onEnd();
    }
    this.#active = this.#active.filter(({ outputTokens }) => outputTokens > 0);
    this.#step();
  }
}
