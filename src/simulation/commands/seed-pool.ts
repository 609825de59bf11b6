import { fork, type ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';

/** A run makes much that lives shortly: with room for it (MB) the collector is called less often. */
const WORKER_FLAGS = ['--max-semi-space-size=64'];

export interface SeedPoolSettings<Result> {
  /** The module that a worker process runs; it answers each run that it is sent with one result. */
  readonly worker: URL;
  /** What is to be run, in this order; it goes to the workers as JSON. */
  readonly runs: readonly object[];
  readonly jobs: number;
  /** No run is begun after so long, ms. */
  readonly mostMs: number;
  readonly isResult: (message: unknown) => message is Result;
  /** Told of each run as it is done, in no order. */
  readonly done: (result: Result) => void;
}

/** Runs seeds in child processes, one seed at a time in each. */
export class SeedPool<Result> {
  readonly #settings: SeedPoolSettings<Result>;
  #startedRuns = 0;
  readonly #deadline: number;
  #resolve: (() => void) | undefined;
  #reject: ((error: Error) => void) | undefined;
  readonly #workers = new Set<ChildProcess>();

  constructor(settings: SeedPoolSettings<Result>) {
    this.#settings = settings;
    this.#deadline = performance.now() + settings.mostMs;
  }

  /** How many runs were begun: where another batch goes on. */
  get startedRuns(): number {
    return this.#startedRuns;
  }

  /** Resolves once every seed that was begun is done; a worker that ends by itself fails the whole. */
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
    const { isResult, done } = this.#settings;
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
    this.#reject?.(new Error(`a worker ended with ${worker.exitCode ?? worker.signalCode}`));
  }
}
