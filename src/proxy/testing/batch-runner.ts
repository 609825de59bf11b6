/**
 * A simulated runner with continuous batching: each step prefills a chunk of the waiting prompts and generates one token
 * for each request whose prompt is done.
 */

/** The figures of the engine, in the form in which deployments state theirs: ms, tokens, and concurrent requests. */
const STEP_MS = 6.73;
const STEP_MS_PER_REQUEST = 0.022;
const PREFILL_TOKENS_PER_MS = 30.6;
const PREFILL_CHUNK_TOKENS = 1024;
const SLOTS = 48;

/** A request at a runner; each callback is called once. */
export interface BatchJob {
  promptTokens: number;
  outputTokens: number;
  hasStarted: boolean;
  readonly onFirstToken: () => void;
  readonly onEnd: () => void;
}

/** Schedules a callback after a delay, ms. */
export type Schedule = (delayMs: number, callback: () => void) => void;

/** One runner, on virtual time. */
export class BatchRunner {
  readonly #schedule: Schedule;
  readonly #stepTimeFactor: number;
  readonly #queue: BatchJob[] = [];
  #active: BatchJob[] = [];
  #isStepping = false;
  /** The number of requests that have arrived. */
  arrivalCount = 0;

  /** `stepTimeFactor`: multiplies the duration of each step; 1 for a runner of normal speed. */
  constructor(schedule: Schedule, stepTimeFactor: number) {
    this.#schedule = schedule;
    this.#stepTimeFactor = stepTimeFactor;
  }

  /** A request arrived. */
  add(job: BatchJob): void {
    this.arrivalCount += 1;
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
    const stepMs =
      STEP_MS + this.#active.length * STEP_MS_PER_REQUEST + prefillTokens / PREFILL_TOKENS_PER_MS;
    this.#isStepping = true;
    this.#schedule(stepMs * this.#stepTimeFactor, () => this.#endStep(decoding));
  }

  #prefill(): number {
    let tokensLeft = PREFILL_CHUNK_TOKENS;
    for (const job of this.#active) {
      const tokens = Math.min(tokensLeft, Math.max(0, job.promptTokens));
      job.promptTokens -= tokens;
      tokensLeft -= tokens;
    }
    return PREFILL_CHUNK_TOKENS - tokensLeft;
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
