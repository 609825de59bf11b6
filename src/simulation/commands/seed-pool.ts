import { fork, type ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';

/** A run allocates many short-lived objects: a large young generation (in MB) makes garbage collections rarer. */
const WORKER_FLAGS = ['--max-semi-space-size=64'];

/** What a pool runs, and with how many processes. */
export interface SeedPoolSettings<Result> {
  /** The module that a worker process executes; it replies to each run that it receives with one result. */
  readonly worker: URL;
  /** The runs, in the order in which they are started; they are sent to the workers as JSON. */
  readonly runs: readonly object[];
  /** Number of worker processes. */
  readonly jobs: number;
  /** No run is started after this time, in milliseconds. */
  readonly maxDurationMs: number;
  /** Whether a message of a worker is a result. */
  readonly isResult: (message: unknown) => message is Result;
  /** Called with the result of each run as it completes, in no particular order. */
  readonly onResult: (result: Result) => void;
}

/** Executes seeded runs in child processes, one run at a time in each. */
export class SeedPool<Result> {
  readonly #settings: SeedPoolSettings<Result>;
  #startedRuns = 0;
  readonly #deadline: number;
  #resolve: (() => void) | undefined;
  #reject: ((error: Error) => void) | undefined;
  readonly #workers = new Set<ChildProcess>();

  constructor(settings: SeedPoolSettings<Result>) {
    this.#settings = settings;
    this.#deadline = performance.now() + settings.maxDurationMs;
  }

  /** Number of runs that were started; a further batch continues after these. */
  get startedRuns(): number {
    return this.#startedRuns;
  }

  /** Resolves once every started run has completed; rejects if a worker process exits by itself. */
  run(): Promise<void> {
    return new Promise((resolve, reject) => this.#begin(resolve, reject));
  }

  #begin(resolve: () => void, reject: (error: Error) => void): void {
    this.#resolve = resolve;
    this.#reject = reject;
    const { jobs, runs } = this.#settings;
    for (let index = 0; index < Math.min(jobs, runs.length); index += 1) this.#startWorker();
  }

  #startWorker(): void {
    const worker = fork(fileURLToPath(this.#settings.worker), [], { execArgv: WORKER_FLAGS });
    this.#workers.add(worker);
    worker.on('message', (message) => this.#receive(worker, message));
    worker.on('exit', () => this.#workerExited(worker));
    this.#sendNextRun(worker);
  }

  #sendNextRun(worker: ChildProcess): void {
    const run = this.#settings.runs[this.#startedRuns];
    if (!run || performance.now() >= this.#deadline) {
      this.#release(worker);
      return;
    }
    worker.send(run);
    this.#startedRuns += 1;
  }

  #receive(worker: ChildProcess, message: unknown): void {
    const { isResult, onResult: done } = this.#settings;
    if (!isResult(message)) return;
    done(message);
    this.#sendNextRun(worker);
  }

  #release(worker: ChildProcess): void {
    this.#workers.delete(worker);
    worker.disconnect();
    if (this.#workers.size === 0) this.#resolve?.();
  }

  #workerExited(worker: ChildProcess): void {
    if (!this.#workers.delete(worker)) return;
    this.#reject?.(
      new Error(`a worker process exited with ${worker.exitCode ?? worker.signalCode}`),
    );
  }
}
